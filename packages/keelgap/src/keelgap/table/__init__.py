"""The operators' table of services, traffic classes and upstreams."""

from keelgap.table.loader import TableLoader, compute_digest, load_table
from keelgap.table.models import (
    DEFAULT_CLASS,
    EMPTY_TABLE,
    Service,
    Table,
    TrafficClass,
    Upstream,
)

__all__ = (
    'DEFAULT_CLASS',
    'EMPTY_TABLE',
    'Service',
    'Table',
    'TableLoader',
    'TrafficClass',
    'Upstream',
    'compute_digest',
    'load_table',
)
