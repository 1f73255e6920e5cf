"""Balancing of opaque packet flows.

``placement`` chooses the agent for a new flow, ``owner_search`` finds the
owner of an open one, ``reducer`` calls them for events, and ``server``
connects the reducer to sockets.
"""
