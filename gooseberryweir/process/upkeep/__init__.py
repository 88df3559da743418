"""Background tasks of `serve` that read and write the platform's objects."""
