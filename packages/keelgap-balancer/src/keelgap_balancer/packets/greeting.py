"""Ask agents for their reports, a bounded number at once."""

from itertools import islice

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.state import AgentView, PacketState

__all__ = ('greet_agents',)

Effects = tuple[PacketEffect, ...]


def greet_agents(state: PacketState, now: float) -> Effects:
    """Keep the reports of agents coming."""
    if len(state.by_host) > defaults.MAX_GREETED:
        due = _take_next(state)
    else:
        due = [view for view in state.by_host.values() if view.hello_at <= now]
    effects = []
    for view in due:
        view.hello_at = now + defaults.HELLO_SECONDS
        view.expect_answer(now)
        effects.append(view.send(EnvelopeKind.HELLO))
    return tuple(effects)


def _take_next(state: PacketState) -> list[AgentView]:
    """Return the next few agents, round and round."""
    due = list(islice(state.greeting, defaults.GREETINGS_AT_ONCE))
    if not due:
        state.greeting = iter(tuple(state.by_host.values()))
    return due
