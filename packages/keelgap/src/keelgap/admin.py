"""The admin HTTP server: metrics, health checks and status pages."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Final, TypedDict

import msgspec
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from keelgap.addresses import Address
from keelgap.dissemination.state import DisseminationState, HeldDocument
from keelgap.exceptions import PortInUse
from keelgap.metrics import SharedMetrics

__all__ = (
    'AdminPage',
    'DocumentReport',
    'StatusReport',
    'TableReport',
    'make_status_report',
    'make_table_report',
    'start_admin',
)

#: Returns the content of a page, which msgspec must be able to encode.
AdminPage = Callable[[], Any]

_SERVICE_UNAVAILABLE: Final = 503


class RefusedReport(TypedDict):
    """The most recent version that was refused."""

    revision: int
    digest: str
    seconds_ago: float
    faults: list[dict[str, str]]


class DocumentReport(TypedDict):
    """The version of one document that is in force in this process."""

    revision: int
    digest: str
    in_force_seconds: float | None
    #: Highest revision that any process has announced.
    highest_heard: int
    refused: RefusedReport | None


class StatusReport(TypedDict):
    """The versions in force in one process, without table rows."""

    name: str
    reading: bool
    #: False while a starting process waits before it puts documents in force.
    joined: bool
    table: DocumentReport
    instances: DocumentReport


class TableReport(StatusReport):
    """The status of one process, including the table rows in force."""

    content: dict[str, Any]


def make_table_report(
    name: str,
    state: DisseminationState,
    now: float,
) -> TableReport:
    """Return the status of this process and the table of services in force."""
    held = state.held[state.identity.document_keys.table]
    return TableReport(
        **make_status_report(name, state, now),
        content=held.document.decoded,
    )


def make_status_report(
    name: str,
    state: DisseminationState,
    now: float,
) -> StatusReport:
    """Return the status of this process without table rows.

    Its size is independent of the table.
    """
    document_keys = state.identity.document_keys
    return StatusReport(
        name=name,
        reading=state.reading,
        joined=state.joined,
        table=_describe(state.held[document_keys.table], now),
        instances=_describe(state.held[document_keys.instances], now),
    )


def _describe(held: HeldDocument, now: float) -> DocumentReport:
    """Return the report of the document that is held under one key."""
    version = held.document.version
    return DocumentReport(
        revision=version.revision,
        digest=version.digest,
        in_force_seconds=now - held.in_force_since if held.parsed else None,
        highest_heard=held.highest_heard.revision,
        refused=_describe_refused(held, now),
    )


def _describe_refused(held: HeldDocument, now: float) -> RefusedReport | None:
    """Return the report of the latest refused version, or None."""
    refused = held.refused
    if refused is None:
        return None
    return RefusedReport(
        revision=refused.version.revision,
        digest=refused.version.digest,
        seconds_ago=now - refused.now,
        faults=[fault._asdict() for fault in refused.faults],
    )


def _make_json_handler(page: AdminPage) -> Callable[[web.Request], Any]:
    """Return a handler that responds with a page as JSON."""

    async def respond(request: web.Request) -> web.Response:
        body = msgspec.json.encode(page())
        return web.Response(body=body, content_type='application/json')

    return respond


def _make_metrics_handler(
    metrics: SharedMetrics,
    refresh: Callable[[], None],
) -> Callable[[web.Request], Any]:
    """Return a handler that refreshes the metrics and responds with them."""

    async def respond(request: web.Request) -> web.Response:
        refresh()
        body = generate_latest(metrics.registry)
        headers = {'Content-Type': CONTENT_TYPE_LATEST}
        return web.Response(body=body, headers=headers)

    return respond


def _make_health_handler(
    is_leaving: Callable[[], bool],
) -> Callable[[web.Request], Any]:
    """Return a handler of health checks, which fail while leaving."""

    async def respond(request: web.Request) -> web.Response:
        if is_leaving():
            return web.Response(status=_SERVICE_UNAVAILABLE, text='leaving\n')
        return web.Response(text='ok\n')

    return respond


async def start_admin(
    address: Address,
    pages: dict[str, AdminPage],
    metrics: tuple[SharedMetrics, Callable[[], None]],
    is_leaving: Callable[[], bool],
    stack: AsyncExitStack,
) -> None:
    """Serve the pages, metrics and health checks until the stack closes."""
    app = web.Application()
    for path, page in pages.items():
        app.router.add_get(path, _make_json_handler(page))
    app.router.add_get('/metrics', _make_metrics_handler(*metrics))
    app.router.add_get('/health', _make_health_handler(is_leaving))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    try:
        await web.TCPSite(runner, address.host, address.port).start()
    except OSError as error:
        raise PortInUse('listen.admin_port', *address) from error
