"""Formats of what processes send one another and read from callers."""
