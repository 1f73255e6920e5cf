"""Outlier ejection: whether the upstream beside this agent fails requests.

Decisions only; the agent's reducer calls them with what it sees.
"""
