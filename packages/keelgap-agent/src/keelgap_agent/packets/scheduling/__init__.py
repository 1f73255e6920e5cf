"""One order for all requests of an upstream, first or later on their flow.

Without this the first request of a flow waits here while there is no room,
and requests on flows that are open go to the upstream at once: they pass
those that wait, whatever their priority.  While early refusal is at work, the
order of ``room`` goes instead.
"""
