"""What lives as long as the process: membership, shares, duties."""
