"""State and background tasks of a host process, and its entry point."""
