"""Poll agents for load reports, a bounded number at a time.

Agents of the same availability zone get most new flows, so they are asked to
report at each change.  Other agents are polled less often, since traffic
between availability zones costs; once they are offered flows, they report with
their answers.
"""

from itertools import islice

from xxhash import xxh3_64_intdigest

from keelgap.packets.envelopes import REPORT_FORMAT, EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.notices import make_notice
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('poll_agents',)

Effects = tuple[PacketEffect, ...]


def poll_agents(state: PacketState, now: float) -> Effects:
    """Send a notice to agents due for a poll, and request load reports.

    With more than MAX_POLLED_AGENTS, a batch is polled at each call.
    """
    if len(state.agents_by_host) > defaults.MAX_POLLED_AGENTS:
        batch = _next_batch(state)
    else:
        batch = [
            view
            for view in state.agents_by_host.values()
            if view.next_poll_at <= now
        ]
    is_zone_sparse = state.polling.zone_agent_count < defaults.MIN_NEAR_AGENTS
    effects = []
    for view in batch:
        view.expect_answer(now)
        notice = make_notice(state, view, now)
        if is_zone_sparse or state.is_same_zone(view):
            view.next_poll_at = now + defaults.POLL_INTERVAL_SECONDS
            effects.append(view.send(EnvelopeKind.HELLO, notice, REPORT_FORMAT))
        else:
            view.next_poll_at = now + defaults.REMOTE_POLL_INTERVAL_SECONDS
            effects.append(view.send(EnvelopeKind.ASK, notice, REPORT_FORMAT))
    return tuple(effects)


def _next_batch(state: PacketState) -> list[AgentView]:
    """Return the next agents to poll in this round.

    If none are left, none are returned, and a new round begins.

    Each balancer has its own order.  Balancers that start together and share
    an order would poll each agent at the same moment, and then not again for
    many seconds.
    """
    batch = list(islice(state.polling.remaining, defaults.POLLS_PER_TICK))
    if not batch:
        seed = state.polling.seed
        state.polling.remaining = iter(
            sorted(
                state.agents_by_host.values(),
                key=lambda view: xxh3_64_intdigest(view.host.encode(), seed),
            )
        )
    return batch
