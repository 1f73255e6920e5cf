"""Balancing of opaque packet flows.

``placement`` decides where a new flow goes, ``search`` finds the owner of an
open one, ``reducer`` ties them to events, ``server`` to sockets.
"""
