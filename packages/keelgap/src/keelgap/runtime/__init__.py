"""Event loop, signals, log and HTTP for packet-forwarding processes.

Imports are kept to a minimum, because with a small share of a core each
imported module delays the first packet after a restart; see
docs/topics/platform.md for measurements.
"""
