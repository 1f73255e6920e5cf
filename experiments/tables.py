"""Tables of any size for experiments."""

from keelgap.addresses import Address
from keelgap.table import Service, Table, Upstream

__all__ = ('make_table',)


def make_table(
    revision: int,
    upstreams: int,
    port: int,
    agent: Address | None,
) -> Table:
    """Return a table of one service, with one agent for all rows if given."""
    rows = tuple(
        Upstream(
            f'upstream-{index}',
            'service',
            agent or Address(f'10.1.{index // 250}.{index % 250 + 1}', 7001),
        )
        for index in range(upstreams)
    )
    return Table(revision, '', {1: Service('service', 1, port)}, {1: rows})
