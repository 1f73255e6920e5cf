"""Log lines on the start and the end of requests.

Request ids and statuses are read from the packets for the log only; no decision
depends on them.
"""

from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided, Observed
from keelgap_agent.packets.flows import Flow, LoggedRequest
from keelgap_agent.packets.state import AgentState

__all__ = (
    'log_request_started',
    'log_request_answered',
    'log_pending_requests',
    'log_requests_unanswered',
)

Effects = tuple[AgentEffect, ...]


def log_request_started(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Record and log the id of a request that starts in a packet."""
    if len(flow.requests) >= defaults.MAX_LOGGED_REQUESTS:
        return ()
    request_id = state.format.find_request_id(datagram)
    if request_id is None:
        return ()
    request = LoggedRequest(request_id, now)
    flow.requests.append(request)
    return (_make_log_entry(state, key, request),)


def log_pending_requests(state: AgentState, key: bytes, flow: Flow) -> Effects:
    """Log the start of a flow's requests, once it is known to be here."""
    return tuple(
        _make_log_entry(state, key, request) for request in flow.requests
    )


def _make_log_entry(
    state: AgentState,
    key: bytes,
    request: LoggedRequest,
) -> Decided:
    """Return the log line for the start of a request."""
    fields = {
        'request': request.request_id,
        'flow': state.format.describe_key(key),
        'busy': state.busy,
        'waiting': len(state.queued),
    }
    return Decided('request_began', fields)


def log_request_answered(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Log and measure the answer to a flow's oldest request.

    Nothing is done unless the packet starts with a status.
    """
    status = state.format.read_status(datagram)
    if not status or not flow.requests:
        return ()
    request = flow.requests.pop(0)
    duration = now - request.started_at
    fields = {
        'request': request.request_id,
        'flow': state.format.describe_key(key),
        'status': status,
        'milliseconds': round(duration * 1000, 1),
        'busy': state.busy,
        'waiting': len(state.queued),
    }
    return (
        Decided('request_answered', fields),
        Observed('answer_seconds', duration),
    )


def log_requests_unanswered(
    state: AgentState,
    key: bytes,
    flow: Flow,
    reason: str,
) -> Effects:
    """Log that a flow's pending requests get no answer, and remove them."""
    requests = flow.requests
    flow.requests = []
    return tuple(
        Decided(
            'request_unanswered',
            {
                'request': request.request_id,
                'flow': state.format.describe_key(key),
                'reason': reason,
            },
        )
        for request in requests
    )
