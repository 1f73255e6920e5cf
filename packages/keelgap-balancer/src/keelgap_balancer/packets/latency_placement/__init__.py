"""Placement of new flows by the expected latency of the agents.

Used if ``placement`` is enabled and demand or upstreams are uneven;
``placement.choose_agent`` decides between this package and the ranking by
load alone.
"""
