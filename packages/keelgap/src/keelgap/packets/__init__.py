"""Flows of opaque packets: what both programs know of them.

The bytes of such a flow belong to its two ends.  A balancer sees addresses,
ports and flags, and may neither change the rest nor add to it.
"""
