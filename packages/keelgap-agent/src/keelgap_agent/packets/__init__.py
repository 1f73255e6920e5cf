"""The agent's side of opaque packet flows.

Its own upstream's truth lies here: which flows it holds, what is at work.
"""
