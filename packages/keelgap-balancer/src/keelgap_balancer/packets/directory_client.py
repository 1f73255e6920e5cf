"""Client of the flow directories of large services.

Lookups are batched: while a directory node has not answered, further flow keys
are queued and sent together in the next lookup.
"""

from itertools import islice

from keelgap.packets.directory import (
    NO_DIRECTORY,
    FlowDirectory,
    digest_hosts,
    make_directory,
)
from keelgap.packets.directory_messages import (
    MAX_KEYS_PER_MESSAGE,
    LookupRequest,
    LookupResponse,
    pack_lookup_request,
    unpack_coverage,
    unpack_lookup_response,
)
from keelgap.packets.envelopes import REPORT_FORMAT, EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.notices import make_notice
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView, DirectoryNodeView

__all__ = (
    'send_queued_lookups',
    'rebuild_directories',
    'queue_lookup',
    'handle_lookup_answer',
    'handle_coverage',
    'notify_uncovered',
)

Effects = tuple[PacketEffect, ...]


def rebuild_directories(state: PacketState, now: float) -> Effects:
    """Recompute the directories from the catalog in force.

    Where the nodes of a directory changed, the agents of the service in the
    same availability zone are notified at once.
    """
    previous = state.directories
    directories = {
        service: _make_directory(state, views)
        for service, views in state.agents_by_service.items()
    }
    state.directories = {
        service: directory
        for service, directory in directories.items()
        if directory.shards
    }
    effects: list[PacketEffect] = []
    for service, directory in state.directories.items():
        if previous.get(service, NO_DIRECTORY).shards != directory.shards:
            effects.extend(_notify_zone_agents(state, service, now))
    return tuple(effects)


def _make_directory(
    state: PacketState,
    views: tuple[AgentView, ...],
) -> FlowDirectory:
    """Return the directory of a service, kept on its active hosts.

    Hosts without an entry in the catalog are left out.  For a small service
    the directory is empty.
    """
    hosts = sorted(
        view.host
        for view in views
        if view.missing_since is None and view.upstream.state == 'active'
    )
    return make_directory(state.catalog.revision, hosts, defaults.MAX_ASKED)


def _notify_zone_agents(
    state: PacketState, service: str, now: float
) -> Effects:
    """Send a notice to each agent of a service in the own availability zone.

    It names the nodes of the service's directory.
    """
    return tuple(
        view.send(
            EnvelopeKind.ASK,
            make_notice(state, view, now),
            REPORT_FORMAT,
        )
        for view in state.agents_by_service[service]
        if state.is_same_zone(view)
    )


def queue_lookup(
    state: PacketState, host: str, key: bytes, now: float
) -> Effects:
    """Look up a flow at a directory node, with any that are queued for it.

    While an answer of the node is pending, the flow is only queued.
    """
    node = state.directory_nodes.setdefault(host, DirectoryNodeView())
    node.queued_keys[key] = None
    lookup_sent_at = node.lookup_sent_at
    is_busy = lookup_sent_at is not None and (
        now - lookup_sent_at < defaults.LOOKUP_TIMEOUT_SECONDS
    )
    return () if is_busy else send_queued_lookups(state, host, node, now)


def handle_lookup_answer(
    state: PacketState,
    event: EnvelopeArrived,
) -> tuple[LookupResponse, Effects]:
    """Decode a directory node's answer; return it and the next lookup to send.

    Raises MalformedEnvelope.
    """
    response = unpack_lookup_response(event.envelope.content)
    node = state.directory_nodes.setdefault(event.sender, DirectoryNodeView())
    node.lookup_sent_at = None
    node.was_lookup_repeated = False
    view = state.agents_by_host.get(event.sender)
    if view is not None:
        view.record_search_answer()
    return response, send_queued_lookups(state, event.sender, node, event.now)


def handle_coverage(state: PacketState, event: EnvelopeArrived) -> bool:
    """Store one part of a node's list of the agents it covers.

    Returns whether the list is complete.  Raises MalformedEnvelope.
    """
    coverage = unpack_coverage(event.envelope.content)
    node = state.directory_nodes.setdefault(event.sender, DirectoryNodeView())
    if not coverage.part:
        node.parts = {}
    node.parts[coverage.part] = coverage.hosts
    if len(node.parts) < coverage.parts:
        return False
    hosts = frozenset(host for part in node.parts.values() for host in part)
    node.parts = {}
    if digest_hosts(hosts) != coverage.digest:
        # The parts belong to two lists.  The next lookup requests the list
        # again, as it carries the digest that is known here.
        return False
    node.covered = hosts
    node.digest = coverage.digest
    return True


def notify_uncovered(state: PacketState, host: str, now: float) -> Effects:
    """Send notices to agents that the directory node on a host does not cover.

    A notice names the nodes of the directory.  The agents may have just
    started, and their next poll may be far away.
    """
    covered = state.directory_nodes[host].covered
    service = state.agents_by_host[host].upstream.service
    effects = []
    for view in state.agents_by_service.get(service, ()):
        is_due = now - view.last_notice_at >= defaults.NOTICE_INTERVAL_SECONDS
        if view.host not in covered and is_due:
            view.last_notice_at = now
            notice = make_notice(state, view, now)
            effects.append(
                view.send(EnvelopeKind.ASK, notice, REPORT_FORMAT),
            )
    return tuple(effects)


def send_queued_lookups(
    state: PacketState,
    host: str,
    node: DirectoryNodeView,
    now: float,
) -> Effects:
    """Send one lookup for flows that are queued for a directory node.

    It holds at most MAX_KEYS_PER_MESSAGE flows; the others stay queued.
    """
    keys = tuple(islice(node.queued_keys, MAX_KEYS_PER_MESSAGE))
    view = state.agents_by_host.get(host)
    if view is None or not keys:
        return ()
    for key in keys:
        node.queued_keys.pop(key)
    node.lookup_sent_at = now
    view.expect_answer(now)
    view.expect_search_answer(now)
    request = LookupRequest(node.digest, keys)
    return (view.send(EnvelopeKind.LOOKUP, pack_lookup_request(request)),)
