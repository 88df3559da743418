"""Types, validation and look-up tables of the platform's versioned objects."""
