"""The agent for opaque packet flows.

The agent is the authority on its upstream: which flows the upstream owns, and
which requests are in progress there.
"""
