"""What a packet-forwarding process runs on: a loop, signals and log lines.

It imports little, because on a small share of a core each imported module
delays the first packet after a restart; docs/topics/platform.md has the
measurement.
"""
