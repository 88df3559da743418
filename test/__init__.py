"""Tests: unit tests and integration tests with real processes."""
