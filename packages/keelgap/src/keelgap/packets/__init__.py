"""Code that the packet balancer and the packet agent share.

Packets are opaque: the balancer reads addresses, ports and flags only, and
must not change or extend the payload.
"""
