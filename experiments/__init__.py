"""Experiments: each prints one JSON object and takes a seed."""
