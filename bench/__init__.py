"""Benchmarks, run by hand, most of them with real host processes."""
