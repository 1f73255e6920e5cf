"""The worlds of ``machine`` and ``directory_machine`` with later contracts.

Upstreams start again under an id that was there before, and operators take
the availability zone out of service while one balancer is behind.
"""

from hypothesis import strategies as st
from hypothesis.stateful import rule

from tests.packets.directory_machine import SmallDirectoryMachine
from tests.packets.machine import BALANCERS, HOSTS, PacketMachine

__all__ = ('StartsDirectoryMachine', 'StartsMachine')


class StartsMachine(PacketMachine):
    """Random starts and zones, besides all other faults."""

    @rule(number=st.sampled_from(HOSTS), keeps_agent=st.booleans())
    def restart_under_id(
        self,
        number: int,
        keeps_agent: bool,  # noqa: FBT001
    ) -> None:
        """Let an upstream start again under its id, without its flows."""
        row = self._get_upstream(number).row
        self._start(number, row, keeps_agent=keeps_agent)

    @rule(number=st.sampled_from(HOSTS), other=st.sampled_from(HOSTS))
    def swap_ids(self, number: int, other: int) -> None:
        """Let two upstreams start again, each under the other's id."""
        rows = [self._get_upstream(one).row for one in (number, other)]
        for place, row in zip((other, number), rows, strict=True):
            self._start(place, row, keeps_agent=False)

    @rule(
        service=st.sampled_from(('board', 'proof')),
        host=st.sampled_from(BALANCERS),
    )
    def serve(self, service: str, host: str) -> None:
        """A new flow is taken where the service has an upstream."""
        takers = [
            one
            for one in self.upstreams.values()
            if one.row.service == service
            and one.accepts
            and self.listed.get(one.row.upstream_id) == one.row
        ]
        if not takers:
            return
        self.deliver_all()
        self.learn(host)
        self.deliver_all()
        self.open(service, host, 0)
        key = next(reversed(self.flows))
        self.deliver_all()
        assert key in self.accepted, 'a new flow was refused'  # noqa: S101

    @rule(number=st.sampled_from(HOSTS), host=st.sampled_from(BALANCERS))
    def serve_under_swapped_ids(self, number: int, host: str) -> None:
        """The ids of one upstream of each service change places.

        A balancer that has read of it serves new flows of both.
        """
        other = number % len(HOSTS) + 1
        self.serve('board', host)
        self.swap_ids(number, other)
        for service in ('board', 'proof'):
            self.serve(service, host)

    @rule()
    def leave_zone(self) -> None:
        """Take the availability zone out of service, and back.

        One balancer is behind; open flows go on.
        """
        self.deliver_all()
        self.evacuated = ('a',)
        self.revision += 1
        self.learn(BALANCERS[0])
        self.deliver_all()
        for host in BALANCERS:
            self.open('board', host, 0)
            self.deliver_all()
        self.evacuated = ()
        self.revision += 1
        for host in BALANCERS:
            self.learn(host)
        self.deliver_all()


class StartsDirectoryMachine(StartsMachine, SmallDirectoryMachine):
    """The same where flows have a directory."""
