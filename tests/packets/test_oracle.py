"""Packet flows keep their promises under random faults."""

from typing import Any
from unittest import TestCase, mock

from keelgap_agent.packets import admission
from keelgap_agent.packets import reducer as agent_reducer
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import (
    catalog_changes,
    dead_flows,
    owner_queries,
    owner_search,
)
from keelgap_balancer.packets import reducer as balancer_reducer
from keelgap_balancer.packets.state import PacketState
from tests.fuzzing import run_machine
from tests.packets.machine import PacketMachine

EXAMPLES = 60
STEPS = 40


def ask_only_once(
    state: Any,
    found: Any,
    unanswered: Any,
    now: float,
) -> Any:
    """Stand in for a search that takes silence for a no."""
    route = state.find_route(found.latest_packet)
    key = state.format.caller_key(found.latest_packet)
    return dead_flows.conclude_search(state, route, found, key, now)


def judge_without_asking(state: Any, now: float) -> Any:
    """Stand in for a search whose verdict needs only a later catalog."""
    return judge_all(
        state,
        [
            key
            for key, found in state.searches.items()
            if found.awaits_catalog
            and found.required_revision <= state.confirmed_revision
        ],
        now,
    )


def judge_by_frozen_mark(
    state: Any,
    route: Any,
    found: Any,
    key: bytes,
    now: float,
) -> Any:
    """Stand in for a verdict that needs no change heard after the denials."""
    heard = state.latest_change
    state.latest_change = found.required_revision or heard
    effects = dead_flows.conclude_search(state, route, found, key, now)
    state.latest_change = heard
    return effects


def judge_after_the_wait(state: Any, now: float) -> Any:
    """Stand in for a search that asks nobody whose entry came back."""
    kept = [
        key
        for key, found in state.searches.items()
        if found.awaiting_entries_since is not None
    ]
    if state.is_newly_started(now):
        return ()
    return judge_all(state, kept, now)


def judge_all(state: Any, keys: list[bytes], now: float) -> Any:
    """Give verdicts on flows whose searches waited."""
    effects: list[Any] = []
    for key in keys:
        found = state.searches[key]
        found.end_suspension(now)
        route = state.find_route(found.latest_packet)
        effects.extend(
            dead_flows.conclude_search(state, route, found, key, now)
        )
    return tuple(effects)


def forget_at_once(state: Any, now: float) -> None:
    """Stand in for a balancer that drops an upstream with its entry."""
    missing = [
        upstream_id
        for upstream_id, view in state.agents.items()
        if view.missing_since is not None
    ]
    for upstream_id in missing:
        state.agents.pop(upstream_id)
        state.missing.discard(upstream_id)
    catalog_changes._rebuild_indexes(state)  # noqa: WPS437


def pass_any_service(state: Any, event: Any) -> Any:
    """Stand in for an agent that does not compare the service."""
    tagged = event.envelope._replace(service_tag=state.service_tag)
    return take_packet(state, event._replace(envelope=tagged))


def keep_lost_flow(state: Any, event: Any, view: Any) -> Any:
    """Stand in for a balancer that ignores an owner's no."""
    return ()


def count_twice(state: Any, key: bytes, now: float) -> Any:
    """Stand in for an agent that counts a request twice."""
    state.workload.flows[Flow(now)] = None
    return release(state, key, now)


def release_nothing(state: Any, now: float) -> Any:
    """Stand in for an agent that keeps requests while there is room."""
    return ()


def forget_only_the_flow(state: Any, key: bytes) -> None:
    """Stand in for an agent that keeps the request of a lost flow."""
    flow = state.flows.pop(key, None)
    if flow is not None:
        state.cancel_request(flow)


def never_answer(state: Any, event: Any) -> Any:
    """Stand in for an agent that drops what its upstream bounced."""
    return ()


def list_services_of_table(state: Any, route: Any) -> Any:
    """Stand in for a balancer that asks only the present services."""
    return tuple(share.service for share in route.shares)


def wait_for_nobody(state: Any, route: Any) -> bool:
    """Stand in for a new balancer that does not hear what agents hold."""
    return False


def ask_no_unsure_agent(state: Any, services: Any) -> Any:
    """Stand in for a new balancer that believes agents as new as itself."""
    return []


take_packet = agent_reducer._handle_packet  # noqa: WPS437
release = admission._release  # noqa: WPS437


DELIBERATE_FAULTS = {
    'silence that counts as a no': (
        owner_queries,
        '_query_again',
        ask_only_once,
    ),
    'an upstream forgotten with its entry': (
        balancer_reducer,
        'forget_missing_upstreams',
        forget_at_once,
    ),
    'a wrong count of work': (admission, '_release', count_twice),
    'a request that waits for nothing': (
        admission,
        'release_queued',
        release_nothing,
    ),
    'a request without its flow': (AgentState, 'forget', forget_only_the_flow),
    'a wait for a catalog whose upstreams are not asked': (
        balancer_reducer,
        'resume_awaiting_catalog',
        judge_without_asking,
    ),
    'a mark that is frozen at the denials': (
        owner_search,
        'conclude_search',
        judge_by_frozen_mark,
    ),
    'a wait for entries whose upstreams are not asked': (
        balancer_reducer,
        'resume_awaiting_entries',
        judge_after_the_wait,
    ),
    'a verdict from an old catalog': (PacketState, 'is_catalog_stale', False),
    'a route whose former services are not asked': (
        dead_flows,
        'list_services',
        list_services_of_table,
    ),
    'a verdict before agents told what they hold': (
        dead_flows,
        'awaits_held_routes',
        wait_for_nobody,
    ),
    'agents that cannot tell what they hold': (
        dead_flows,
        'list_unsure_agents',
        ask_no_unsure_agent,
    ),
    'a verdict although entries may lack': (
        PacketState,
        'is_newly_started',
        lambda state, now: False,
    ),
}
HANDLER_FAULTS = {
    'a packet for another service': (
        agent_reducer._ENVELOPE_HANDLERS,  # noqa: WPS437
        pass_any_service,
        (2,),
    ),
    'an owner whose no is ignored': (
        balancer_reducer._ENVELOPE_HANDLERS,  # noqa: WPS437
        keep_lost_flow,
        (4,),
    ),
    'a search that nobody answers': (
        agent_reducer._ENVELOPE_HANDLERS,  # noqa: WPS437
        never_answer,
        (3,),
    ),
}


class OracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(PacketMachine, EXAMPLES, STEPS)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(PacketMachine, 400, STEPS, shrink=False)

    def test_every_fault_of_a_handler_is_found(self) -> None:
        """Handlers stand in a table that is read only."""
        for name, (table, stand_in, kinds) in HANDLER_FAULTS.items():
            changed = {**table, **dict.fromkeys(kinds, stand_in)}
            module = (
                agent_reducer
                if table is agent_reducer._ENVELOPE_HANDLERS  # noqa: WPS437
                else balancer_reducer
            )
            patch = mock.patch.object(module, '_ENVELOPE_HANDLERS', changed)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(PacketMachine, 400, STEPS, shrink=False)
