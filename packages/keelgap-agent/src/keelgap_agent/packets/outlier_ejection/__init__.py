"""Outlier ejection: detects that this agent's upstream fails requests.

While an upstream is ejected, it gets no new flows but a few trials.  The
modules only make decisions and do no I/O; the agent's reducer calls them with
the packets and timers that it handles.
"""
