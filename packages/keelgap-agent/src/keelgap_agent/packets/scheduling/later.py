"""Later requests of open flows that wait until the upstream has room.

Only a packet that surely begins a request is held: its flow is known, its
earlier request was answered, the packet before was not full, and its octets
were not seen before.  All else
is passed on at once, so that what the upstream has begun goes on.  What is
held is never lost: a caller that waits repeats its packets.
"""

from typing import Final

from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.formats import ENDS_FLOW, Flags
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.admission import release_held, release_request
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow, Held
from keelgap_agent.packets.outcomes.judging import judge_bounce
from keelgap_agent.packets.request_log import tell_unanswered
from keelgap_agent.packets.scheduling.order import has_room
from keelgap_agent.packets.scheduling.rests import note_length
from keelgap_agent.packets.scheduling.terms import read_packet
from keelgap_agent.packets.state import AgentState

__all__ = (
    'begins_to_wait',
    'end_waiting',
    'hold_later',
    'pass_waiting',
    'settle_bounce',
    'take_more',
)

Effects = tuple[AgentEffect, ...]
_RST: Final = int(Flags.RST)
_MILLISECONDS: Final = 1000


def begins_to_wait(
    state: AgentState,
    flow: Flow,
    event: EnvelopeArrived,
) -> bool:
    """Return whether a packet begins a request that must wait."""
    if not state.features.scheduling:
        return False
    flow.terms = read_packet(event.envelope, flow.terms)
    datagram = event.envelope.content
    if flow.terms is None or not _is_new(state, flow, datagram):
        return False
    is_rest = flow.terms.goes_on or flow.busy_since is not None
    if is_rest or flow.ended or not _may_hold(state, flow):
        note_length(state, flow, datagram)
        return False
    waiting = any(held.packets for held in state.held.values())
    if waiting or not has_room(state, event.now):
        return True
    note_length(state, flow, datagram)
    return False


def hold_later(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Let a request wait, unless it is the first in rank and there is room."""
    held = _make_held(state.flows[key], event)
    state.held[key] = held
    effects = (
        *_tell_owned(state, key, event),
        *_keep(state, key, held, event),
    )
    if key not in state.held:
        return effects
    return (*effects, Decided('held_later', _describe(state, key, event.now)))


def take_more(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Take a packet of a flow whose later request waits."""
    envelope = event.envelope
    datagram = envelope.content
    flow = state.flows[key]
    has_data = state.format.data_length(datagram) > 0
    passed = state.pass_on(event.sender, envelope)
    owned = _tell_owned(state, key, event)
    if state.format.flags(datagram) & ENDS_FLOW:
        # The last octets of a request may come with the caller's FIN.
        over = (
            pass_waiting(state, key, event.now)
            if has_data
            else _forget_left(state, key, event.now)
        )
        flow.ended = True
        state.cancel_request(flow)
        return (*owned, *over, passed, *release_held(state, event.now))
    if not has_data or not _is_new(state, flow, datagram):
        return (*owned, passed)
    return (*owned, *_keep(state, key, state.held[key], event))


def end_waiting(
    state: AgentState,
    key: bytes,
    flags: int,
    now: float,
) -> Effects:
    """Settle what waits on a flow of which the upstream sent a packet.

    An upstream that closes the flow answers itself what comes after; a
    caller that is told of a reset does not wait any more.
    """
    if not flags & ENDS_FLOW or not _is_later_held(state, key):
        return ()
    if flags & _RST:
        fields = _describe(state, key, now)
        state.held.pop(key)
        return (Decided('reset_waiting', fields),)
    return pass_waiting(state, key, now)


def pass_waiting(state: AgentState, key: bytes, now: float) -> Effects:
    """Pass on at once what waits on an open flow, if anything does."""
    if not _is_later_held(state, key):
        return ()
    return release_request(state, key, now)


def settle_bounce(
    state: AgentState,
    key: bytes,
    packet: bytes,
    now: float,
) -> Effects:
    """Pass on what waits on a flow that the upstream gave back.

    The upstream gives that back, too; so the log tells its end at once.
    """
    flow = state.flows.get(key)
    if flow is None or flow.asked_by is not None:
        return pass_waiting(state, key, now)
    judged = judge_bounce(state, key, flow, packet, now)
    passed = pass_waiting(state, key, now)
    return (*judged, *passed, *tell_unanswered(state, key, flow, 'bounced'))


def _is_later_held(state: AgentState, key: bytes) -> bool:
    held = state.held.get(key)
    return held is not None and held.is_later


def _may_hold(state: AgentState, flow: Flow) -> bool:
    """Return whether this process knows the flow well enough, and has room.

    Without data seen before, a packet may belong to a request that another
    process passed on.
    """
    if state.stopping_since is not None or not flow.confirmed:
        return False
    most = state.slots * agent_defaults.HELD_PER_SLOT
    return flow.caller_sequence is not None and len(state.held) < most


def _is_new(state: AgentState, flow: Flow, datagram: bytes) -> bool:
    """Return whether a packet has octets that were not passed on."""
    if not state.format.data_length(datagram):
        return False
    if state.format.flags(datagram) & ENDS_FLOW:
        return False
    return flow.is_ahead(state.format.sequence(datagram))


def _make_held(flow: Flow, event: EnvelopeArrived) -> Held:
    now = event.now
    terms = flow.terms
    assert terms is not None
    leaves = now + terms.patience
    return Held(
        came=now,
        priority=terms.priority,
        in_time=now + terms.aim,
        assured=leaves,
        leaves=leaves,
        is_from_outage=False,
        packets={},
        is_later=True,
    )


def _keep(
    state: AgentState,
    key: bytes,
    held: Held,
    event: EnvelopeArrived,
) -> Effects:
    """Keep one copy of each packet, and pass on what there is room for."""
    sequence = state.format.sequence(event.envelope.content)
    is_known = sequence in held.packets
    if is_known or len(held.packets) < agent_defaults.MAX_HELD_PACKETS:
        held.packets[sequence] = event
    return release_held(state, event.now)


def _tell_owned(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Answer a balancer that searched for the flow."""
    if event.envelope.kind != EnvelopeKind.SEARCH:
        return ()
    return (state.send(event.sender, EnvelopeKind.OWNED, key),)


def _forget_left(state: AgentState, key: bytes, now: float) -> Effects:
    """Drop what waits, since its caller has left."""
    fields = _describe(state, key, now)
    state.held.pop(key)
    return (Decided('left_waiting', fields),)


def _describe(state: AgentState, key: bytes, now: float) -> dict[str, object]:
    held = state.held[key]
    return {
        'flow': state.format.describe_key(key),
        'priority': held.priority,
        'left_ms': round((held.in_time - now) * _MILLISECONDS),
        'waited_ms': round((now - held.came) * _MILLISECONDS),
        'busy': state.busy,
        'waiting': len(state.held),
    }
