"""Placement of new flows where demand and upstreams are uneven.

Used where the deployment calls for it; ``placement.choose_taker`` decides
between this package and the ranking by load alone.
"""
