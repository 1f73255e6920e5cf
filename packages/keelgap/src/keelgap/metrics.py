"""Metrics of both programs, in a registry for each process."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ('SharedMetrics',)

_PREFIX: Final = 'keelgap'


class SharedMetrics:
    """Counters and gauges of one process, listed in docs/ref/metrics.md."""

    def __init__(self) -> None:
        """Register the metrics."""
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
