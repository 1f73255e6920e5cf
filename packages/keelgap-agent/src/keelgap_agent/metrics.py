"""Prometheus metrics of the agent."""

from typing import Final

from prometheus_client import Counter, Gauge, Histogram

from keelgap.metrics import SharedMetrics

__all__ = ('AgentMetrics',)

_PREFIX: Final = 'keelgap'
_BUCKETS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    60.0,
)


class AgentMetrics(SharedMetrics):
    """Metrics of one agent, documented in docs/ref/metrics.md."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
        self.histograms = {
            name: self._make_histogram(name, text)
            for name, text in (
                ('queue_seconds', 'Time from arrival to start.'),
                ('first_byte_seconds', 'Time from start to the first octet.'),
                ('request_seconds', 'Time from arrival to the end.'),
            )
        }
        self.refusals = Counter(
            'refusals',
            'Requests refused, by problem type and reason.',
            ['problem', 'reason'],
            namespace=_PREFIX,
            registry=self.registry,
        )
        self.flows = self._make_gauge('flows', 'Flows that are open.')
        self.busy = self._make_gauge('busy_slots', 'Slots that are in use.')
        self.queued = self._make_gauge('queued', 'Requests that wait.')
        self.ledger = self._make_gauge('ledger_entries', 'Ledger entries.')

    def _make_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name,
            text,
            ['traffic_class'],
            namespace=_PREFIX,
            registry=self.registry,
            buckets=_BUCKETS,
        )

    def _make_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, namespace=_PREFIX, registry=self.registry)
