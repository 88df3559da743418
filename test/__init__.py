"""Unit tests, and integration tests that start real processes."""
