"""What is divided among the hosts: rates, slots, permits."""
