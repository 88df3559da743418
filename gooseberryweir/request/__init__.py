"""What lives as long as one request: admission, routing, proxying."""
