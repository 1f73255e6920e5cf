"""Which requests wait here, and when the upstream gets them.

Early refusal, the feature ``admission``, is in ``room``; later requests on open
flows are in ``scheduling``.

An upstream serves its queue in order, so after an outage everybody would be
late: those who came back first, and all who come after them.  So opening
packets pass at once, and the first request of a flow waits here until the
upstream has room.  A caller whose flow is open stays with it until its answer
comes or its time is over, and says so when it leaves; one that gets no answer
to its opening packet sends copies, which may open the flow at a second
upstream, and gives up after 1.4 s, which nobody tells.

Those who return after an outage go first when they are about to leave, then
those that can be answered in time, by priority; the others get what room is
left.
"""

from typing import Final

from keelgap.packets.envelopes import OPENING_KINDS, EnvelopeKind
from keelgap.packets.formats import ENDS_FLOW
from keelgap.packets.openings import OPENING_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow, Held
from keelgap_agent.packets.outcomes.giving_up import give_up_ready
from keelgap_agent.packets.outcomes.judging import note_opening, note_work
from keelgap_agent.packets.outcomes.refusing import refuse_ejected
from keelgap_agent.packets.refusals import find_refusal
from keelgap_agent.packets.registration import register
from keelgap_agent.packets.request_log import note_request
from keelgap_agent.packets.room import (
    NO_TIME,
    choose_under_pressure,
    compute_room_ms,
)
from keelgap_agent.packets.scheduling.order import (
    choose_next,
    has_room,
    observe_wait,
)
from keelgap_agent.packets.scheduling.terms import read_opening
from keelgap_agent.packets.state import AgentState

__all__ = (
    'release_all',
    'release_held',
    'release_request',
    'take_opening',
    'take_waiting',
)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def take_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Pass the first packet of a flow on, or give it back."""
    now = event.now
    state.balancers.owed.add(event.sender)
    state.note_opening(now)
    envelope = event.envelope
    if envelope.slots:
        state.slots = envelope.slots
    held = _make_held(state, event)
    refusal = find_refusal(state, event, held) or refuse_ejected(
        state, key, event
    )
    if refusal is not None:
        return _give_back(state, event, refusal, held)
    state.room.note_taken(held.priority, now)
    flow = Flow(now)
    if state.features.scheduling:
        flow.terms = read_opening(envelope)
    state.flows[key] = flow
    state.held[key] = held
    note_opening(state, key, event)
    state.cold.note_passed(now)
    passed = state.pass_on(event.sender, envelope)
    return (*register(state, key, flow, now), passed)


def take_waiting(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Take a packet of a flow whose first request has not been passed on."""
    envelope = event.envelope
    datagram = envelope.content
    if envelope.kind in OPENING_KINDS:
        return (state.pass_on(event.sender, envelope),)
    owned: Effects = ()
    if envelope.kind == EnvelopeKind.SEARCH:
        owned = (state.send(event.sender, EnvelopeKind.OWNED, key),)
    held = state.held[key]
    if state.format.flags(datagram) & ENDS_FLOW:
        state.held.pop(key)
        state.flows[key].ended = True
        state.outcomes.forget(key)
        left = Decided('left_waiting', _describe(state, key, held, event.now))
        return (*owned, state.pass_on(event.sender, envelope), left)
    if not state.format.data_length(datagram):
        return owned
    is_first = not held.packets
    if len(held.packets) < defaults.MAX_HELD_PACKETS:
        held.packets[state.format.sequence(datagram)] = event
    given_up = give_up_ready(state, key, event.now)
    if given_up:
        return (*owned, *given_up)
    released = release_held(state, event.now)
    if is_first and key in state.held:
        fields = _describe(state, key, held, event.now)
        released = (*released, Decided('held', fields))
    return (*owned, *released)


def release_held(state: AgentState, now: float) -> Effects:
    """Pass on what the upstream has room for, the first in rank first."""
    effects: list[AgentEffect] = list(_forget_late(state, now))
    while has_room(state, now):
        ready = [
            key
            for key, held in state.held.items()
            if held.packets and not state.outcomes.would_lose(key)
        ]
        if not ready:
            break
        key = _choose_next(state, ready, now)
        effects.extend(_release(state, key, now))
    return tuple(effects)


def release_all(state: AgentState, now: float) -> Effects:
    """Pass on all that waits, since this process is about to end."""
    return tuple(
        effect
        for key in tuple(state.held)
        for effect in _release(state, key, now)
    )


def release_request(state: AgentState, key: bytes, now: float) -> Effects:
    """Pass on what is there of a request that waits."""
    return _release(state, key, now)


def _release(state: AgentState, key: bytes, now: float) -> Effects:
    held = state.held.pop(key)
    flow = state.flows[key]
    effects: list[AgentEffect] = []
    for sequence in flow.sort(held.packets):
        event = held.packets[sequence]
        datagram = event.envelope.content
        state.note_data(flow, sequence, now)
        note_work(state, key, flow, datagram, now)
        effects.append(state.pass_on(event.sender, event.envelope))
        effects.extend(note_request(state, key, flow, datagram, now))
    return (*effects, *observe_wait(state, held, now))


def _make_held(state: AgentState, event: EnvelopeArrived) -> Held:
    wait = event.envelope.wait
    now = event.now
    began = now - wait.age_ms / _MILLISECONDS
    left = event.envelope.left_ms / _MILLISECONDS
    return Held(
        came=now,
        priority=event.envelope.priority,
        in_time=now + left,
        assured=now + wait.assured_ms / _MILLISECONDS,
        leaves=now + wait.patience_ms / _MILLISECONDS,
        is_from_outage=began < state.resumed_at + OPENING_SECONDS,
        packets={},
    )


def _forget_late(state: AgentState, now: float) -> Effects:
    """Drop flows whose callers have left by now without a word."""
    late = [key for key, held in state.held.items() if now >= held.leaves]
    for key in late:
        if state.held.pop(key).is_later:
            # If its caller is there after all it repeats the request.
            continue
        state.forget(key)
    return tuple(Decided('held_too_long') for _ in late)


def _give_back(
    state: AgentState,
    event: EnvelopeArrived,
    reason: str,
    held: Held,
) -> Effects:
    envelope = event.envelope
    room_ms = 0
    if reason == NO_TIME:
        state.room.note_refused(held.priority, event.now)
        room_ms = compute_room_ms(state, held, event.now)
    miss = state.give_back(event.sender, envelope, room_ms)
    fields = {
        'flow': state.format.describe_key(
            state.format.caller_key(envelope.content),
        ),
        'hop': envelope.hop,
        'busy': state.busy,
        'held': len(state.held),
        'slots': state.slots,
        'room_ms': room_ms,
    }
    return miss, Decided(reason, fields)


def _describe(
    state: AgentState,
    key: bytes,
    held: Held,
    now: float,
) -> dict[str, object]:
    return {
        'flow': state.format.describe_key(key),
        'left_ms': round((held.in_time - now) * _MILLISECONDS),
        'from_outage': held.is_from_outage,
        'busy': state.busy,
        'waiting': len(state.held),
    }


def _choose_next(state: AgentState, ready: list[bytes], now: float) -> bytes:
    """Return the request that is passed on next."""
    if state.room.is_pressed(now):
        return choose_under_pressure(state, ready, now)
    return choose_next(state, ready, now)
