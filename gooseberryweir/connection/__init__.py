"""What lives as long as one connection: peer links, caller sockets."""
