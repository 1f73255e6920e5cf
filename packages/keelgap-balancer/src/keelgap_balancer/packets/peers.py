"""Failure detection among balancers.

In a small fleet each balancer sends messages to all others twice a second,
and one that is silent for too long is removed.  In a larger fleet most pairs
of balancers exchange no messages for a long time.  There a balancer probes
the others one at a time, in turn, and suspects one that does not reply in
time.  The suspicion is piggybacked on the regular messages, and the suspect
refutes it with a higher incarnation as soon as it learns of it.  A balancer
that does not is removed as lost.

This is SWIM (Das, Gupta and Motivala, 2002) with suspicion and incarnations.
The indirect probes of SWIM are left out: several balancers learn of a
suspicion, and pass it to the suspect, long before it times out.
"""

from collections.abc import Iterable
from enum import IntEnum
from itertools import islice
from typing import Any, Final, NamedTuple

from keelgap_balancer.packets import defaults

__all__ = ('PeerChange', 'PeerTable', 'PeerStatus')


class PeerStatus(IntEnum):
    """State of another balancer as seen by its peers."""

    ALIVE = 0
    SUSPECTED = 1
    LOST = 2


class PeerChange(NamedTuple):
    """A change of a balancer's status, as it is disseminated."""

    host: str
    #: Increased by the balancer whenever it refutes a suspicion; of two
    #: changes the one with the higher incarnation is valid.
    incarnation: int
    status: PeerStatus


class _PendingChange:
    """A change of a balancer's status that is still to be sent some times."""

    __slots__ = ('change', 'remaining_sends')

    def __init__(self, change: PeerChange, remaining_sends: int) -> None:
        self.change = change
        self.remaining_sends = remaining_sends


#: Incarnation of a host of which none is known.
_UNKNOWN: Final = -1


class PeerTable:
    """Other balancers that this one knows, with their status.

    Methods return what to send; ``gossip_driver`` sends it.
    """

    def __init__(
        self,
        own_host: str,
        seeds: Iterable[str],
        incarnation: int = 0,
    ) -> None:
        """Start with the hosts to contact first, some of which may be gone."""
        self.own_host = own_host
        self.incarnation = incarnation
        self.seeds: tuple[str, ...] = ()
        self.change_seeds(seeds)
        #: Balancers that are alive, and when the latest message came from each
        #: or another balancer reported it alive.
        self.last_heard: dict[str, float] = {}
        #: Latest known incarnation of each balancer.
        self.incarnations: dict[str, int] = {}
        #: Hosts that other balancers mentioned and that sent no message yet.
        self.unconfirmed: set[str] = set()
        #: Balancers with an unanswered probe, and when it was first sent.
        self.awaiting_reply: dict[str, float] = {}
        #: Balancers under suspicion, and since when.
        self.suspected: dict[str, float] = {}
        #: Changes still to be disseminated, by host.
        self.updates: dict[str, _PendingChange] = {}
        #: Balancers removed since ``take_removed`` was called.
        self.removed: set[str] = set()
        #: Balancers that are alive, latest message last.
        self.recent: dict[str, None] = {}
        #: Index of the first receiver of the last round.
        self.first_receiver = 0
        self.last_tick_at = float('-inf')
        #: Since when the fleet is small enough for all to send to all.
        self.small_fleet_since = float('-inf')

    @property
    def is_small_fleet(self) -> bool:
        """Return whether each balancer sends to all others."""
        return len(self.last_heard) <= defaults.MAX_GOSSIP_PEERS

    def change_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the hosts to contact even if nothing was heard from them."""
        self.seeds = tuple(host for host in seeds if host != self.own_host)

    def record_message(
        self,
        host: str,
        incarnation: int,
        mentioned: Iterable[str],
        now: float,
    ) -> bool:
        """Record that a balancer sent a message, so that it is alive.

        ``mentioned`` are balancers that it names.  Returns whether it was not
        known to be alive before.
        """
        is_new = host not in self.last_heard
        self._record_heard(host, now)
        self.awaiting_reply.pop(host, None)
        was_suspected = self.suspected.pop(host, None) is not None
        known = self.incarnations.get(host, _UNKNOWN)
        if incarnation > known:
            self._record_change(PeerChange(host, incarnation, PeerStatus.ALIVE))
        elif is_new or was_suspected:
            # Send the suspicion to it, so that it refutes what other balancers
            # may still record.
            self._record_change(PeerChange(host, known, PeerStatus.SUSPECTED))
        self.unconfirmed.update(
            other for other in mentioned if other != self.own_host
        )
        self.unconfirmed -= self.last_heard.keys()
        return is_new

    def merge(
        self, changes: Iterable[PeerChange], now: float
    ) -> tuple[str, ...]:
        """Apply changes of status from a message.

        Returns the hosts that were not known to be alive before.
        """
        found = [one for one in changes if self._merge_change(one, now)]
        return tuple(one.host for one in found)

    def tick(self, now: float) -> tuple[str, ...]:
        """Suspect or remove balancers by timeouts; return those removed.

        To be called once each gossip round.
        """
        if now - self.last_tick_at > defaults.MAX_ROUND_GAP_SECONDS:
            # This process was paused; replies may have arrived meanwhile.
            self.awaiting_reply.clear()
            self.suspected = dict.fromkeys(self.suspected, now)
        self.last_tick_at = now
        if not self.is_small_fleet:
            self.small_fleet_since = now
        for probed_host, since in tuple(self.awaiting_reply.items()):
            if now - since >= defaults.PROBE_TIMEOUT_SECONDS:
                self._suspect(probed_host, now)
        lost = self._list_lost(now)
        for lost_host in lost:
            change = PeerChange(
                lost_host, self.incarnations[lost_host], PeerStatus.LOST
            )
            self._remove(lost_host)
            self._record_change(change)
        return tuple(lost)

    def take_removed(self) -> tuple[str, ...]:
        """Return the balancers removed since the last call.

        They timed out here, or another balancer reported them lost.
        """
        removed = self.removed.difference(self.last_heard)
        self.removed.clear()
        return tuple(removed)

    def should_probe(self, host: str, position: int) -> bool:
        """Return whether to probe a receiver.

        That is the first one of a round, and any that is suspected or has not
        replied to a probe.
        """
        return (
            not position
            or host in self.awaiting_reply
            or host in self.suspected
        )

    def start_probe(self, host: str, now: float) -> bool:
        """Begin to await a reply of a host; return whether to request one.

        None is requested in a small fleet, or of a host not known to be alive.
        """
        if self.is_small_fleet or host not in self.last_heard:
            return False
        if host not in self.suspected:
            self.awaiting_reply.setdefault(host, now)
        return True

    def select_receivers(
        self,
        wanted: Iterable[str] = (),
        *,
        is_reader: bool,
        is_round: bool = False,
    ) -> list[str]:
        """Return the hosts to send to next: all, or a few in turn if many.

        ``wanted`` are included each time if they are alive, before others, as
        are balancers that have not replied to a probe and those under
        suspicion.  The first host of a round is that whose turn it is.
        """
        hosts = list(
            dict.fromkeys((*self.last_heard, *self.unconfirmed, *self.seeds))
        )
        unconfirmed = self.unconfirmed
        self.unconfirmed = set()
        if len(hosts) <= defaults.MAX_GOSSIP_PEERS:
            return hosts
        first, *others = self._choose_next(
            hosts, _compute_fanout(is_reader=is_reader, is_round=is_round)
        )
        alive = [host for host in wanted if host in self.last_heard]
        # A reader may have started just now, so that few know it.
        introduced = unconfirmed if is_reader else ()
        receivers = dict.fromkeys((first, *alive, *others, *introduced))
        probed_hosts = (*self.awaiting_reply, *self.suspected)[
            : defaults.GOSSIP_FANOUT
        ]
        chosen = islice(receivers, defaults.READER_GOSSIP_FANOUT)
        return list(dict.fromkeys((*chosen, *probed_hosts)))

    def list_recent_peers(self) -> tuple[str, ...]:
        """Return the balancers to mention to peers, latest message first."""
        return tuple(islice(reversed(self.recent), defaults.MAX_GOSSIP_PEERS))

    def take_updates(self) -> tuple[PeerChange, ...]:
        """Return the changes of status to send with one message.

        The sends left for each of them are decremented.  Those with the most
        sends remaining come first.
        """
        ranked = sorted(
            self.updates.values(), key=_get_remaining_sends, reverse=True
        )
        changes = []
        for update in ranked[: defaults.MAX_CHANGES]:
            changes.append(update.change)
            update.remaining_sends -= 1
            if not update.remaining_sends:
                self.updates.pop(update.change.host)
        return tuple(changes)

    def _merge_change(self, change: PeerChange, now: float) -> bool:
        """Apply a change of status; return whether its host is newly known."""
        host = change.host
        if host == self.own_host:
            self._refute(change)
            return False
        is_known = host in self.last_heard
        known = self.incarnations.get(host, _UNKNOWN)
        if change.status == PeerStatus.ALIVE:
            if change.incarnation <= known:
                return False
            self._record_heard(host, now)
            self.suspected.pop(host, None)
            self._record_change(change)
            return not is_known
        if not is_known or change.incarnation < known:
            return False
        if change.status == PeerStatus.LOST:
            self._remove(host)
            self._record_change(change)
        elif host not in self.suspected:
            self.suspected[host] = now
            self._record_change(change)
        return False

    def _refute(self, change: PeerChange) -> None:
        """Refute a report that this balancer is suspected or lost."""
        is_wrong = change.status != PeerStatus.ALIVE
        if is_wrong and change.incarnation >= self.incarnation:
            self.incarnation = change.incarnation + 1
            self._record_change(
                PeerChange(self.own_host, self.incarnation, PeerStatus.ALIVE)
            )

    def _suspect(self, host: str, now: float) -> None:
        """Suspect a balancer that did not reply to a probe in time."""
        self.awaiting_reply.pop(host)
        if host in self.last_heard and host not in self.suspected:
            self.suspected[host] = now
            incarnation = self.incarnations[host]
            self._record_change(
                PeerChange(host, incarnation, PeerStatus.SUSPECTED)
            )

    def _choose_next(self, hosts: list[str], count: int) -> list[str]:
        """Return the next hosts in turn; the others follow in later rounds."""
        start = (self.first_receiver + count) % len(hosts)
        self.first_receiver = start
        return (hosts[start:] + hosts[:start])[:count]

    def _list_lost(self, now: float) -> list[str]:
        """Return balancers that were suspected or silent for too long.

        Silence alone is no sign of a loss in a large fleet.
        """
        suspected_limit = now - defaults.SUSPICION_TIMEOUT_SECONDS
        lost = [
            host
            for host, since in self.suspected.items()
            if since <= suspected_limit
        ]
        heard_limit = now - defaults.PEER_TIMEOUT_SECONDS
        if self.small_fleet_since < heard_limit:
            lost += [
                host
                for host, heard_at in self.last_heard.items()
                if heard_at < heard_limit and host not in self.suspected
            ]
        return lost

    def _record_heard(self, host: str, now: float) -> None:
        """Record that a balancer is alive, and the latest to be heard of."""
        self.last_heard[host] = now
        self.recent.pop(host, None)
        self.recent[host] = None

    def _remove(self, host: str) -> None:
        self.removed.add(host)
        tables: tuple[dict[str, Any], ...] = (
            self.last_heard,
            self.recent,
            self.awaiting_reply,
            self.suspected,
        )
        for table in tables:
            table.pop(host, None)

    def _record_change(self, change: PeerChange) -> None:
        """Record the incarnation of a change, and disseminate the change."""
        self.incarnations[change.host] = change.incarnation
        rounds = (len(self.last_heard) + 1).bit_length()
        self.updates[change.host] = _PendingChange(
            change, rounds * defaults.RETRANSMIT_FACTOR
        )


def _compute_fanout(*, is_reader: bool, is_round: bool) -> int:
    """Return to how many balancers of a large fleet to send in turn."""
    if is_round:
        # Each probe also causes a reply.
        return defaults.PROBE_FANOUT
    # All others depend on readers to learn of a change.
    return (
        defaults.READER_GOSSIP_FANOUT if is_reader else defaults.GOSSIP_FANOUT
    )


def _get_remaining_sends(update: _PendingChange) -> int:
    return update.remaining_sends
