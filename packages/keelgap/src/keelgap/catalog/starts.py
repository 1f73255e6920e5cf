"""Which start of each upstream is in force.

An upstream may start again under its id; it knows nothing of before.  A
report of its former start that reaches the store late must not hide the later
start.  So reports of an earlier start than the latest known one are refused.
"""

from typing import Final

from keelgap.catalog.exceptions import StaleStart
from keelgap.catalog.models import PacketUpstream

__all__ = ('UpstreamTable',)

#: Ids remembered whose entry went: reports reach the store up to 6 s late,
#: and some dozen upstreams end in that time.
MAX_ENDED: Final = 4096

#: Reports of an earlier start that are refused before one is taken.  The
#: clock of an upstream may have stepped back between two starts.  Such a start
#: goes on reporting each 1.2 s; of a former one at most the last report or two
#: are late.
REFUSED_REPORTS: Final = 2


class UpstreamTable:
    """The entries of upstreams that can be read, by id."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, PacketUpstream] = {}
        #: Latest start of each id, also of those whose entry went.
        self.started: dict[str, int] = {}
        #: Reports refused in a row, by id.
        self.refused: dict[str, int] = {}

    def put(self, upstream: PacketUpstream) -> None:
        """Take a report; raise StaleStart if a later start is known."""
        upstream_id = upstream.upstream_id
        latest = self.started.get(upstream_id, 0)
        refused = self.refused.get(upstream_id, 0)
        if upstream.started < latest and refused < REFUSED_REPORTS:
            self.refused[upstream_id] = refused + 1
            raise StaleStart(upstream_id, upstream.started, latest)
        self.refused.pop(upstream_id, None)
        self.rows[upstream_id] = upstream
        if upstream.started:
            self.started[upstream_id] = upstream.started

    def remove(self, upstream_id: str) -> None:
        """Forget an entry, but not that its start has been."""
        self.rows.pop(upstream_id, None)
        if len(self.started) <= len(self.rows) + MAX_ENDED:
            return
        oldest = next(one for one in self.started if one not in self.rows)
        self.started.pop(oldest)
        self.refused.pop(oldest, None)
