"""Which new flows the upstream gets, and when.

An upstream serves its queue in order, so after an outage everybody would be
late: those who came back first, and all who come after them.  New flows wait
here instead.  Those that can still be answered in time go first, by priority;
those that waited long are late in any case and get what room is left.
Nothing is held that is not meant to be served.
"""

from collections.abc import Callable
from typing import Final

from keelgap.packets.openings import OPENING_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    SendToUpstream,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState, Flow, Held

__all__ = (
    'end_idle_openings',
    'forget_late',
    'give_back_all',
    'release_held',
    'take_opening',
)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def take_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Pass the first packet of a flow on, hold it, or give it back."""
    state.balancers.owed.add(event.sender)
    state.note_opening(event.now)
    if key in state.held:
        return (Decided('copy_of_held'),)
    envelope = event.envelope
    if envelope.slots:
        state.slots = envelope.slots
    held = _make_held(state, event)
    if state.stopping_since is not None:
        return _give_back(state, held, 'miss_closed')
    if len(state.flows) >= defaults.MAX_FLOWS:
        return _give_back(state, held, 'miss_full')
    if state.has_room and not state.held:
        return (_pass(state, key, held, event.now),)
    state.held[key] = held
    displaced: Effects = ()
    if len(state.held) > state.slots * defaults.HELD_PER_SLOT:
        last = min(state.held, key=_rank_held(state, event.now))
        displaced = _give_back(
            state,
            state.held.pop(last),
            'miss_queue_full',
        )
    fields = {
        'flow': state.format.describe_key(key),
        'left_ms': envelope.left_ms,
        'busy': state.busy,
        'waiting': len(state.held),
    }
    return (
        Decided('held', fields),
        *displaced,
        *release_held(state, event.now),
    )


def _make_held(state: AgentState, event: EnvelopeArrived) -> Held:
    envelope = event.envelope
    wait = envelope.wait
    now = event.now
    began = now - wait.age_ms / _MILLISECONDS
    due = None
    if began < state.resumed_at + OPENING_SECONDS:
        due = now + wait.assured_ms / _MILLISECONDS - state.answer_seconds
    left = envelope.left_ms / _MILLISECONDS
    return Held(
        sender=event.sender,
        envelope=envelope,
        given_up=now + wait.patience_ms / _MILLISECONDS,
        in_time=now + left - state.answer_seconds,
        due=due,
    )


def forget_late(state: AgentState, now: float) -> Effects:
    """Drop new flows whose callers have given them up by now."""
    arrival = now + state.handshakes.mean
    late = [key for key, held in state.held.items() if arrival >= held.given_up]
    for key in late:
        state.held.pop(key)
    return tuple(Decided('held_too_long') for _ in late)


def _give_back(
    state: AgentState,
    held: Held,
    reason: str,
) -> Effects:
    envelope = held.envelope
    miss = state.give_back(held.sender, envelope)
    fields = {
        'flow': state.format.describe_key(
            state.format.caller_key(envelope.content),
        ),
        'hop': envelope.hop,
        'busy': state.busy,
        'held': len(state.held),
        'slots': state.slots,
    }
    return miss, Decided(reason, fields)


def _pass(
    state: AgentState,
    key: bytes,
    held: Held,
    now: float,
) -> SendToUpstream:
    flow = Flow(now)
    flow.offered = True
    state.flows[key] = flow
    # Its request follows within a round trip and needs a slot.
    state.start_request(flow, now)
    state.openings[key] = flow
    return state.pass_on(held.sender, held.envelope)


def end_idle_openings(state: AgentState, now: float) -> None:
    """Free the room of new flows whose request never came."""
    patience = state.handshakes.patience
    for key, flow in tuple(state.openings.items()):
        if now - flow.opened > patience:
            state.openings.pop(key)
            state.cancel_request(flow)
            state.handshakes.note_left()


def _rank_held(
    state: AgentState,
    now: float,
) -> Callable[[bytes], tuple[int, int, float]]:
    return lambda key: state.held[key].rank(now)


def release_held(state: AgentState, now: float) -> Effects:
    """Pass on what the upstream has room for, the first in rank first."""
    end_idle_openings(state, now)
    effects: list[AgentEffect] = list(forget_late(state, now))
    while state.held and state.has_room:
        key = max(state.held, key=_rank_held(state, now))
        held = state.held.pop(key)
        effects.append(_pass(state, key, held, now))
    return tuple(effects)


def give_back_all(state: AgentState) -> Effects:
    """Return all that waits to the balancers, who know other takers."""
    held = tuple(state.held.values())
    state.held.clear()
    return tuple(
        effect
        for one in held
        for effect in _give_back(state, one, 'miss_closed')
    )
