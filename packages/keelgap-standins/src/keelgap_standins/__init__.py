"""Simulated platform, callers and upstreams for tests and the demo."""
