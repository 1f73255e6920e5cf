"""Requests: admission, at-most-once execution and final answers."""
