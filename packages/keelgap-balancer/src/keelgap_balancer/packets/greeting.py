"""Ask agents for their reports, a bounded number at once.

Agents of the own availability zone get most new flows, so their reports come
at each change.  The others are asked now and then, since octets between
availability zones cost; they report with their answers once they are offered
flows.
"""

from itertools import islice

from xxhash import xxh3_64_intdigest

from keelgap.packets.envelopes import REPORT_FORMAT, EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.notices import make_notice
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('greet_agents',)

Effects = tuple[PacketEffect, ...]


def greet_agents(state: PacketState, now: float) -> Effects:
    """Keep the reports of agents coming."""
    if len(state.by_host) > defaults.MAX_GREETED:
        due = _take_next(state)
    else:
        due = [view for view in state.by_host.values() if view.hello_at <= now]
    is_alone = state.greeting.near_agents < defaults.MIN_NEAR_AGENTS
    effects = []
    for view in due:
        view.expect_answer(now)
        notice = make_notice(state, view, now)
        if is_alone or state.is_near(view):
            view.hello_at = now + defaults.HELLO_SECONDS
            effects.append(view.send(EnvelopeKind.HELLO, notice, REPORT_FORMAT))
        else:
            view.hello_at = now + defaults.FAR_ASK_SECONDS
            effects.append(view.send(EnvelopeKind.ASK, notice, REPORT_FORMAT))
    return tuple(effects)


def _take_next(state: PacketState) -> list[AgentView]:
    """Return the next few agents, round and round.

    Each balancer has an order of its own.  Balancers that start together and
    share an order greet each agent at the same moment, once in many seconds.
    """
    due = list(islice(state.greeting.left, defaults.GREETINGS_AT_ONCE))
    if not due:
        seed = state.greeting.seed
        state.greeting.left = iter(
            sorted(
                state.by_host.values(),
                key=lambda view: xxh3_64_intdigest(view.host.encode(), seed),
            )
        )
    return due
