"""Callers' QUIC connections, and the data port they arrive at."""
