"""One queue for the first and the subsequent requests of all flows.

Without this feature only the first request of a flow is queued while the
upstream lacks capacity.  Requests on open flows are sent to it at once, and
overtake queued ones whatever their priority.  While requests are refused
early, the order of ``capacity`` applies instead.
"""
