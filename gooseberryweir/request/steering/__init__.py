"""Routes requests to upstreams: admission, placement, limits and retries."""
