"""Metrics page of the packet balancer and the packet agent.

Importing prometheus_client takes 0.16 processor seconds.  A thread imports it
at the first request, so that packets are forwarded meanwhile; until then the
page responds with status 503.
"""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Final

from keelgap.packets.counters import BUCKETS, Counters
from keelgap.runtime.pages import Page

if TYPE_CHECKING:
    from threading import Thread

    from prometheus_client import Metric

__all__ = ('Gauges', 'METRICS_PATH', 'make_metrics_page')

METRICS_PATH: Final = '/metrics'
_OK: Final = 200
_UNAVAILABLE: Final = 503
_LOADING_PAGE: Final = Page(_UNAVAILABLE, 'text/plain', b'call again\n')

#: Returns the names and current values of all gauges.
Gauges = Callable[[], dict[str, float]]


class _Renderer:
    """Import prometheus_client in a thread, and render the metrics page."""

    def __init__(self, counters: Counters, gauges: Gauges) -> None:
        self.counters = counters
        self.gauges = gauges
        self.thread: 'Thread | None' = None
        self.prometheus: Any = None

    def render(self, query: str) -> Page:
        """Return the metrics page, or status 503 while the import is pending.

        The first call starts the import.
        """
        if self.prometheus is None:
            if self.thread is None:
                self.thread = _start_thread(self._import_prometheus)
            return _LOADING_PAGE
        prometheus = self.prometheus
        registry = prometheus.CollectorRegistry()
        registry.register(self)
        body = prometheus.generate_latest(registry)
        return Page(_OK, prometheus.CONTENT_TYPE_LATEST, body)

    def collect(self) -> Iterator['Metric']:
        """Yield all metric families; called by prometheus_client."""
        core = self.prometheus.core
        events = core.CounterMetricFamily(
            'keelgap_events',
            'Decisions and drops, by name.',
            labels=['name'],
        )
        for name, total in sorted(self.counters.totals.items()):
            events.add_metric([name], total)
        yield events
        for name, number in self.gauges().items():
            yield core.GaugeMetricFamily(f'keelgap_{name}', name, number)
        yield from self._collect_histograms(core)

    def _collect_histograms(self, core: Any) -> Iterator['Metric']:
        """Yield one family per histogram name, labelled by service."""
        families: dict[str, Any] = {}
        for (name, service), histogram in self.counters.histograms.items():
            family = families.get(name)
            if family is None:
                family = core.HistogramMetricFamily(
                    f'keelgap_{name}',
                    name,
                    labels=['service'],
                )
                families[name] = family
            family.add_metric(
                [service],
                list(_list_cumulative_buckets(histogram.counts)),
                histogram.total,
            )
        yield from families.values()

    def _import_prometheus(self) -> None:
        import prometheus_client.core  # noqa: PLC0415, WPS433, WPS301

        self.prometheus = prometheus_client


def _start_thread(call: Callable[[], None]) -> 'Thread':
    """Run a function in a daemon thread."""
    from threading import Thread  # noqa: PLC0415, WPS433

    thread = Thread(target=call, daemon=True)
    thread.start()
    return thread


def _list_cumulative_buckets(counts: list[int]) -> Iterator[tuple[str, float]]:
    """Yield the bound and cumulative count of each histogram bucket."""
    total = 0
    bounds = (*map(str, BUCKETS), '+Inf')
    for bound, count in zip(bounds, counts, strict=True):
        total += count
        yield bound, total


def make_metrics_page(
    counters: Counters,
    gauges: Gauges,
) -> Callable[[str], Page]:
    """Return the function that renders the metrics page of a process."""
    return _Renderer(counters, gauges).render
