"""Table of upstreams that rejects reports of earlier starts.

An upstream may restart under the same id and loses its state.  A report of its
earlier start that reaches the store late must not replace the later start, so
reports of an earlier start than the latest known one are refused.
"""

from typing import Final

from keelgap.catalog.exceptions import StaleStart
from keelgap.catalog.models import PacketUpstream

__all__ = ('UpstreamTable',)

#: Maximum ids whose start is remembered after their entry was deleted: reports
#: reach the store up to 6 s late, and a few dozen upstreams end in that time.
MAX_REMEMBERED_IDS: Final = 4096

#: Number of reports of an earlier start that are refused before one is
#: accepted, because the clock of an upstream may have been set back between two
#: starts.  Such a start keeps reporting every 1.2 s, whereas at most the last
#: one or two reports of an earlier start are late.
MAX_REFUSED_REPORTS: Final = 2


class UpstreamTable:
    """Latest report of each upstream, by id."""

    def __init__(self) -> None:
        """Initialize an empty table."""
        self.rows: dict[str, PacketUpstream] = {}
        #: Unix milliseconds of the latest start of each id, including ids
        #: whose entry was deleted.
        self.started: dict[str, int] = {}
        #: Number of consecutive refused reports, by id.
        self.refused: dict[str, int] = {}

    def put(self, upstream: PacketUpstream) -> None:
        """Store a report of an upstream.

        Raises StaleStart if a later start is known, until MAX_REFUSED_REPORTS
        reports in a row were refused.
        """
        upstream_id = upstream.upstream_id
        latest_start = self.started.get(upstream_id, 0)
        refused = self.refused.get(upstream_id, 0)
        if upstream.started < latest_start and refused < MAX_REFUSED_REPORTS:
            self.refused[upstream_id] = refused + 1
            raise StaleStart(upstream_id, upstream.started, latest_start)
        self.refused.pop(upstream_id, None)
        self.rows[upstream_id] = upstream
        if upstream.started:
            self.started[upstream_id] = upstream.started

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream, but remember when it started.

        The oldest start is forgotten if too many are remembered.
        """
        self.rows.pop(upstream_id, None)
        if len(self.started) <= len(self.rows) + MAX_REMEMBERED_IDS:
            return
        oldest = next(one for one in self.started if one not in self.rows)
        self.started.pop(oldest)
        self.refused.pop(oldest, None)
