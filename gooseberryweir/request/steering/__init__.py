"""Where a request goes: admission, placement, limits and retries."""
