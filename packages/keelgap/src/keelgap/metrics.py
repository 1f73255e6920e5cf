"""Metrics that both programs keep, on a registry of their own."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ('SharedMetrics',)

_PREFIX: Final = 'keelgap'


class SharedMetrics:
    """Counters and gauges of one process; docs/ref/metrics.md lists them."""

    def __init__(self) -> None:
        """Register all of them."""
        self.registry = CollectorRegistry()
        self.drops = Counter(
            'drops',
            'Datagrams dropped, by reason.',
            ['reason'],
            namespace=_PREFIX,
            registry=self.registry,
        )
        self.events = Counter(
            'events',
            'Decisions that operators watch, by name.',
            ['name'],
            namespace=_PREFIX,
            registry=self.registry,
        )
        self.table_revision = Gauge(
            'table_revision',
            'Revision of the table in force.',
            namespace=_PREFIX,
            registry=self.registry,
        )
