"""Balancers that elect readers of the store, simulated on a virtual clock.

Membership, election, messages and the reading of catalogs are the real ones
(``GossipDriver`` and ``CatalogDriver``).  The store and the network are
simulated.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace
from typing import Any, Final, NamedTuple, cast

from experiments.outage.clock import VirtualClock
from keelgap.addresses import Address
from keelgap.catalog import defaults as catalog_defaults
from keelgap.catalog.builder import Decoders
from keelgap.catalog.driver import CatalogDriver
from keelgap.catalog.events import (
    CallFailed,
    ChangesRead,
    EntryChange,
    FollowerEvent,
    PageRead,
)
from keelgap.catalog.models import NO_CATALOG, Entry
from keelgap.catalog.readers import ReaderClaim, compute_rank
from keelgap.packets.envelopes import NO_STAMP, unpack_envelope
from keelgap.runtime.http import HttpResponse
from keelgap_balancer.packets.balancer_infos import BalancerInfoTable
from keelgap_balancer.packets.gossip_driver import GossipDriver
from keelgap_balancer.packets.peers import PeerTable

__all__ = ('ReaderFleet', 'SimulatedBalancer')

#: Octets of the headers of IPv4 and UDP.
HEADERS: Final = 28
#: One way between two balancers, least and most.
TRAVEL_SECONDS: Final = (0.001, 0.01)
#: A call of the store.
STORE_SECONDS: Final = 0.008
#: A call of the store that gets no answer.
STORE_TIMEOUT_SECONDS: Final = 1.05
#: The only entry of the store; it is neither a route nor an upstream.
ENTRY_KEY: Final = 'entry'
PEER_PORT: Final = 1
CONTROL_PORT: Final = 2
#: Hosts that each balancer knows at its start.
SEEDS: Final = 3


_DECODERS: Final = Decoders(
    'routes',
    'upstreams/',
    lambda entry: NO_CATALOG.routes,
    cast('Any', None),
    'zones/',
    cast('Any', None),
)


class RoleChange(NamedTuple):
    """A balancer began or ceased to read the store."""

    when: float
    host: str
    is_reader: bool


class _Store:
    """Client of the simulated store, in the place of a platform's."""

    def __init__(self, balancer: 'SimulatedBalancer') -> None:
        self.balancer = balancer
        self.fleet = balancer.fleet
        self.calls = 0

    def read_page(self, after: str) -> None:
        """Read all entries at once."""
        revision = self.fleet.revision
        entries = {ENTRY_KEY: _make_entry(revision)}
        self._answer(
            STORE_SECONDS,
            lambda now: PageRead(now, entries, self.fleet.revision, ''),
        )

    def read_first_page_again(self) -> None:
        """Read once more; the earlier answer counts as well."""

    def watch(self, revision: int, wait_seconds: float) -> None:
        """Answer at the first change, or after a time in seconds."""
        self.calls += 1
        call = self.calls
        if self.fleet.revision > revision:
            self._answer(STORE_SECONDS, self._make_changes)
            return
        self.fleet.watches[self.balancer.host] = self.end_watch
        clock = self.fleet.clock

        def time_out() -> None:
            if call == self.calls:
                self.end_watch()

        clock.later(clock.now + wait_seconds, time_out)

    def end_watch(self) -> None:
        """Answer the watch that waits."""
        self.calls += 1
        self.fleet.watches.pop(self.balancer.host, None)
        self._answer(STORE_SECONDS / 2, self._make_changes)

    def _make_changes(self, now: float) -> FollowerEvent:
        revision = self.fleet.revision
        known = self.balancer.catalog.state.revision
        entry = _make_entry(revision)
        change = EntryChange(ENTRY_KEY, revision, entry)
        changes = (change,) if revision > known else ()
        return ChangesRead(now, changes, revision)

    def _answer(
        self, seconds: float, make_event: Callable[[float], FollowerEvent]
    ) -> None:
        fleet = self.fleet
        if self.balancer.host in fleet.cut_from_store:
            self._pass_later(
                STORE_TIMEOUT_SECONDS, lambda now: CallFailed(now, 'timeout')
            )
        else:
            fleet.reads += 1
            self._pass_later(seconds, make_event)

    def _pass_later(
        self, seconds: float, make_event: Callable[[float], FollowerEvent]
    ) -> None:
        clock = self.fleet.clock
        balancer = self.balancer

        def pass_event() -> None:
            balancer.catalog.handle_event(make_event(clock.now))

        clock.later(
            clock.now + seconds,
            lambda: self.fleet.run_or_defer(balancer, pass_event),
        )


class _PeerClient:
    """Fetches the catalog of another balancer, in the place of HTTP."""

    def __init__(self, balancer: 'SimulatedBalancer', address: Address) -> None:
        self.balancer = balancer
        self.address = address
        self.calls = 0
        self.on_response: Callable[[HttpResponse], None] | None = None

    def get(
        self,
        target: str,
        timeout: float,
        on_response: Callable[[HttpResponse], None],
    ) -> None:
        """Fetch a page; a pending request is dropped."""
        fleet = self.balancer.fleet
        self.calls += 1
        self.on_response = on_response
        there = fleet.travel(self.balancer.host, self.address.host)
        back = fleet.travel(self.address.host, self.balancer.host)
        peer = fleet.balancers.get(self.address.host)
        if peer is None or there is None or back is None:
            self._respond_later(timeout, HttpResponse(0, b'', 'timeout'))
            return
        clock = fleet.clock
        query = target.partition('?')[2]

        def serve() -> None:
            page = peer.catalog.make_catalog_page(query)
            self._respond_later(
                fleet.send_seconds + back, HttpResponse(page.status, page.body)
            )

        clock.later(
            clock.now + 2 * there + back,
            lambda: fleet.run_or_defer(peer, serve),
        )

    def close(self) -> None:
        """Drop a pending request."""
        self.on_response = None

    def _respond_later(self, seconds: float, response: HttpResponse) -> None:
        clock = self.balancer.fleet.clock
        call = self.calls

        def respond() -> None:
            on_response = self.on_response
            if call == self.calls and on_response is not None:
                self.on_response = None
                on_response(response)

        clock.later(
            clock.now + seconds,
            lambda: self.balancer.fleet.run_or_defer(self.balancer, respond),
        )


class SimulatedBalancer:
    """One balancer: its membership, its catalog and what it sent."""

    def __init__(self, fleet: 'ReaderFleet', host: str, version: int) -> None:
        """Create a balancer that does not send yet."""
        self.fleet = fleet
        self.host = host
        self.octets = 0
        self.messages_in = 0
        #: Calls that came due while the process stood still.
        self.deferred: list[Callable[[], None]] = []
        self.peers = PeerTable(host, fleet.seeds, incarnation=version)
        process = SimpleNamespace(
            loop=SimpleNamespace(
                clock=lambda: fleet.clock.now,
                call_every=self._call_every,
                call_after=self._call_after,
            ),
            lines=SimpleNamespace(log=self._log, log_decision=self._log),
            counters=SimpleNamespace(count=self._log),
        )
        self.catalog = CatalogDriver(
            process.loop,
            cast('Any', process.lines),
            _DECODERS,
            lambda catalog: self.driver.send_gossip(),
            self._handle_status,
            self._log,
        )
        self.catalog.peer_clients.make_client = lambda loop, address: cast(
            'Any', _PeerClient(self, address)
        )
        self.was_answered = True
        self.driver = GossipDriver(
            cast('Any', process),
            self.peers,
            BalancerInfoTable(host, 'zone', version),
            self.catalog,
            lambda: NO_STAMP,
            CONTROL_PORT,
        )

    @property
    def reads(self) -> bool:
        """Return whether it reads the store."""
        return self.driver.readers.is_reader

    def start(self) -> None:
        """Begin to read the store, to send and to receive."""
        self.catalog.start(_Store(self))
        self.driver.start(cast('Any', self), PEER_PORT)

    def sendto(self, datagram: bytes, receiver: tuple[str, int]) -> None:
        """Send a datagram, in the place of a socket."""
        self.octets += len(datagram) + HEADERS
        self.fleet.carry(self.host, receiver[0], datagram)

    def receive(self, datagram: bytes, sender: str) -> None:
        """Handle a datagram."""
        self.messages_in += 1
        envelope, _ = unpack_envelope(datagram)
        self.driver.handle_message(envelope, sender)

    def resume(self) -> None:
        """Make the calls that came due while the process stood still."""
        calls = self.deferred
        self.deferred = []
        for call in calls:
            call()

    def _log(self, event: str, **fields: object) -> None:
        """Record a change of role; drop other lines."""
        if event in {'reading_store', 'following_readers'}:
            self.fleet.changes.append(
                RoleChange(self.fleet.clock.now, self.host, self.reads)
            )

    def _handle_status(self) -> None:
        """Tell others if the store begins or ceases to answer."""
        is_answered = self.catalog.is_answered
        if is_answered != self.was_answered:
            self.was_answered = is_answered
            self.driver.send_gossip()

    def _call_after(self, delay: float, callback: Callable[[], None]) -> None:
        clock = self.fleet.clock
        clock.later(
            clock.now + delay, lambda: self.fleet.run_or_defer(self, callback)
        )

    def _call_every(self, period: float, callback: Callable[[], None]) -> None:
        clock = self.fleet.clock

        def fire() -> None:
            self.fleet.run_or_defer(self, tick)

        def tick() -> None:
            clock.later(clock.now + period, fire)
            callback()

        clock.later(clock.now + self.fleet.random.uniform(0, period), fire)


class ReaderFleet:
    """Balancers, the network between them, and the store that they read."""

    def __init__(self, count: int, seed: int) -> None:
        """Create hosts without balancers."""
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.revision = 1
        self.hosts = [
            f'10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}'
            for number in range(count)
        ]
        self.seeds = self.random.sample(self.hosts, min(SEEDS, count))
        self.balancers: dict[str, SimulatedBalancer] = {}
        #: Share of messages that are lost, and hosts of which more are.
        self.loss: float = 0
        self.host_loss: dict[str, float] = {}
        #: Pairs of a sender and a receiver between which nothing passes.
        self.blocked: set[tuple[str, str]] = set()
        self.cut_from_store: set[str] = set()
        self.frozen: set[str] = set()
        self.changes: list[RoleChange] = []
        self.starts = 0
        #: How long a balancer takes to send its catalog, in seconds.
        self.send_seconds: float = 0
        #: Calls of the store that were answered.
        self.reads = 0
        #: Ends the watch of a balancer that waits for a change.
        self.watches: dict[str, Callable[[], None]] = {}

    def start(self, hosts: Iterable[str]) -> None:
        """Start balancers that know the seeds only."""
        for host in hosts:
            self.starts += 1
            balancer = SimulatedBalancer(self, host, self.starts)
            self.balancers[host] = balancer
            balancer.start()

    def start_settled(self, hosts: Iterable[str]) -> None:
        """Start balancers that know each other; the first in rank read."""
        chosen = sorted(hosts, key=compute_rank)
        readers = chosen[:3]
        for host in chosen:
            balancer = SimulatedBalancer(self, host, 1)
            self.balancers[host] = balancer
            others = [one for one in chosen if one != host]
            # Each found the others in an order of its own.
            self.random.shuffle(others)
            balancer.peers.last_heard.update(dict.fromkeys(others, 0))
            balancer.peers.incarnations.update(dict.fromkeys(chosen, 1))
            balancer.driver.readers.is_reader = host in readers
            balancer.catalog.state.is_reader = host in readers
            balancer.driver.found.update(balancer.peers.last_heard)
            for reader in readers:
                balancer.driver.readers.record_claim(ReaderClaim(reader, 0), 0)
        for balancer in self.balancers.values():
            balancer.start()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now + seconds
        self.clock.later(end, lambda: None)
        self.clock.run(end)

    def kill(self, hosts: Iterable[str]) -> None:
        """End balancers without notice."""
        for host in tuple(hosts):
            self.balancers.pop(host, None)

    @contextmanager
    def pause(self, hosts: Iterable[str]) -> Iterator[None]:
        """Let balancers stand still; afterwards they go on."""
        chosen = tuple(hosts)
        self.frozen.update(chosen)
        yield
        self.resume(chosen)

    def resume(self, hosts: Iterable[str]) -> None:
        """Let balancers go on that stood still."""
        for host in hosts:
            self.frozen.discard(host)
            balancer = self.balancers.get(host)
            if balancer is not None:
                balancer.resume()

    def list_readers(self) -> list[str]:
        """Return those that read the store and get answers."""
        return [
            host
            for host, balancer in self.balancers.items()
            if balancer.reads and self.reaches_store(host)
        ]

    def list_ranked(self) -> list[str]:
        """Return the running balancers, highest rank first."""
        return sorted(filter(self.is_running, self.balancers), key=compute_rank)

    def list_candidates(self) -> list[str]:
        """Return the running balancers of highest rank."""
        return self.list_ranked()[: catalog_defaults.CANDIDATE_COUNT]

    def list_followers(self) -> list[str]:
        """Return those that do not read the store, next in rank first."""
        readers = self.list_readers()
        return [host for host in self.list_ranked() if host not in readers]

    def cut_off(
        self,
        hosts: Iterable[str],
        *,
        is_heard: bool = False,
        hears: bool = False,
    ) -> None:
        """Cut balancers off from all others, both ways or one way."""
        chosen = set(hosts)
        for other in set(self.hosts) - chosen:
            if not is_heard:
                self.blocked.update((host, other) for host in chosen)
            if not hears:
                self.blocked.update((other, host) for host in chosen)

    def reaches_store(self, host: str) -> bool:
        """Return whether a balancer runs and gets answers of the store."""
        return self.is_running(host) and host not in self.cut_from_store

    def is_running(self, host: str) -> bool:
        """Return whether a balancer runs now."""
        return host in self.balancers and host not in self.frozen

    def change(self) -> None:
        """Write into the store; those that watch it are answered."""
        self.revision += 1
        for end_watch in tuple(self.watches.values()):
            end_watch()

    def count_behind(self, hosts: Iterable[str]) -> int:
        """Return how many running balancers lack the latest revision."""
        return sum(
            self.balancers[host].catalog.state.revision < self.revision
            for host in hosts
            if self.is_running(host)
        )

    def time_until(
        self, condition: Callable[[], bool], limit: float, step: float = 0.05
    ) -> float:
        """Return seconds until a condition holds; the limit if it never does.

        The limit is in seconds.
        """
        began = self.clock.now
        while not condition() and self.clock.now - began < limit:
            self.run(step)
        return round(self.clock.now - began, 2)

    def travel(self, sender: str, receiver: str) -> float | None:
        """Return how long a message takes; None if it is lost."""
        if (sender, receiver) in self.blocked:
            return None
        loss = max(
            self.loss,
            self.host_loss.get(sender, 0),
            self.host_loss.get(receiver, 0),
        )
        if loss and self.random.random() < loss:
            return None
        return self.random.uniform(*TRAVEL_SECONDS)

    def carry(self, sender: str, receiver: str, datagram: bytes) -> None:
        """Carry a datagram to its receiver."""
        seconds = self.travel(sender, receiver)
        if seconds is not None and receiver in self.balancers:
            self.clock.later(
                self.clock.now + seconds,
                lambda: self._deliver(sender, receiver, datagram),
            )

    def run_or_defer(
        self, balancer: SimulatedBalancer, call: Callable[[], None]
    ) -> None:
        """Run a call of a balancer now, or when it goes on."""
        if self.balancers.get(balancer.host) is not balancer:
            return
        if balancer.host in self.frozen:
            balancer.deferred.append(call)
        else:
            call()

    def _deliver(self, sender: str, receiver: str, datagram: bytes) -> None:
        balancer = self.balancers.get(receiver)
        if balancer is not None:
            self.run_or_defer(
                balancer, lambda: balancer.receive(datagram, sender)
            )


def _make_entry(revision: int) -> Entry:
    return Entry(str(revision).encode(), revision)
