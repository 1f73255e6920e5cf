"""The agent process: flows, upstream, control plane and admin server."""

import asyncio
from contextlib import AsyncExitStack, ExitStack
from random import Random
from typing import Final, TypedDict

import aiohttp
from aioquic.quic.configuration import QuicConfiguration

from keelgap.addresses import Address
from keelgap.admin import (
    make_status_report,
    make_table_report,
    start_admin,
)
from keelgap.control.messages import Answer, Ask, Delivery
from keelgap.control_plane import (
    ControlPlane,
    ControlPlaneSettings,
    make_incarnation,
    start_control_plane,
)
from keelgap.dissemination.state import ParsedDocument
from keelgap.exceptions import Fault, ImproperlyConfigured
from keelgap.keys import load_keys
from keelgap.routing.connection_ids import FlowOwner
from keelgap.table import Table
from keelgap.wire.packets import CONNECTION_ID_LENGTH
from keelgap_agent.conf import AgentSettings, TlsSettings
from keelgap_agent.driver import AgentDriver
from keelgap_agent.events import (
    InstancesChanged,
    StopRequested,
    TableChanged,
)
from keelgap_agent.flows.admission import accepts_service
from keelgap_agent.metrics import AgentMetrics
from keelgap_agent.ports import AgentPorts
from keelgap_agent.quic.flow_table import FlowHooks, FlowTable
from keelgap_agent.quic.protocol import CONNECTION_WINDOW, STREAM_WINDOW
from keelgap_agent.quic.sender import EnvelopeSender
from keelgap_agent.requests.tickets import TicketCodec
from keelgap_agent.requests.upstream import UpstreamClient, poll_upstream_state
from keelgap_agent.state import AgentIdentity, AgentState

__all__ = ('AgentServer',)

_BAD_CERTIFICATE: Final = 'keelgap.E025'
_ALPN: Final = 'h3'


class FlowReport(TypedDict):
    """One open flow as reported on the admin port."""

    flow: int
    caller: str
    via: str
    open_requests: int


class AgentServer:
    """Start, drain and report on one agent."""

    def __init__(self, settings: AgentSettings) -> None:
        """Load keys and certificate; raises ImproperlyConfigured."""
        self.settings = settings
        self.keys = load_keys(settings.keys)
        self.configuration = _make_configuration(settings)
        self.metrics = AgentMetrics()
        self.incarnation = make_incarnation()
        self.loop = asyncio.get_running_loop()
        self.driver = AgentDriver(self._make_state())
        self.plane: ControlPlane

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind all sockets and start all tasks; the stack closes them."""
        instance = self.settings.instance
        listen = self.settings.listen
        flows = self._make_flows()
        flows.start(stack.enter_context(ExitStack()))
        session = await self._open_session(stack)
        upstream = UpstreamClient(session, self.settings.upstream.url)
        self.plane = await start_control_plane(
            ControlPlaneSettings(
                instance, listen, self.settings.config_service
            ),
            self.keys,
            self.metrics,
            self._handle_change,
            self._handle_message,
            stack,
        )
        self.driver.ports = AgentPorts(
            flows,
            upstream,
            self.plane.channel,
            self.metrics,
        )
        self._start_tasks(session, stack)
        await start_admin(
            Address(instance.address, listen.admin_port),
            {
                '/status': self._report_status,
                '/table': self._report_table,
                '/flows': self.list_flows,
            },
            (self.metrics, self._refresh_gauges),
            lambda: self.driver.state.is_leaving,
            stack,
        )

    async def drain(self) -> None:
        """Start a planned drain and return when the agent may exit."""
        self.driver.dispatch(StopRequested(self.loop.time()))
        await self.driver.exited.wait()

    @property
    def flows(self) -> FlowTable:
        """Return the table of open flows."""
        return self.driver.ports.flows

    def list_flows(self) -> list[FlowReport]:
        """Return a report of every open flow."""
        return [
            FlowReport(
                flow=connection.flow_id,
                caller=str(connection.caller),
                via=str(connection.via),
                open_requests=len(connection.streams),
            )
            for connection in self.flows.flows.values()
        ]

    def _make_state(self) -> AgentState:
        """Return the initial state of the agent."""
        instance = self.settings.instance
        listen = self.settings.listen
        identity = AgentIdentity(
            Address(instance.address, listen.data_port),
            Address(instance.address, listen.control_port),
            self.settings.upstream.service,
            self.incarnation,
            self.loop.time(),
        )
        tickets = TicketCodec(self.keys.mac, self.keys.mac_sign)
        random = Random()  # noqa: S311
        state = AgentState(identity, tickets, random)
        state.ledger.capacity = self.settings.limits.ledger_entries
        return state

    def _make_flows(self) -> FlowTable:
        """Return an empty flow table, connected to the driver."""
        owner = FlowOwner(self.driver.state.identity.data, 0)
        sender = EnvelopeSender(
            self.keys.make_envelope_codec(self.incarnation, owner.agent),
            self.metrics,
            self._get_revision,
            lambda: flows.owner.service,
        )
        flows = FlowTable(
            owner,
            self.keys.make_connection_id_codec(),
            sender,
            self.configuration,
            FlowHooks(
                self.driver.handle_offer,
                lambda number: accepts_service(self.driver.state, number),
                self._record_revision,
            ),
        )
        return flows

    def _get_revision(self) -> int:
        """Return the revision of the table in force."""
        return self.driver.state.table.revision

    async def _open_session(
        self,
        stack: AsyncExitStack,
    ) -> aiohttp.ClientSession:
        """Open the HTTP session for requests to the upstream."""
        # Each request gets a connection of its own.  A kept-alive connection
        # may close while a request that must not be repeated is sent on it, and
        # the agent could not tell whether that request ran.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        return await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                skip_auto_headers=('Accept-Encoding', 'User-Agent'),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=1),
            ),
        )

    def _start_tasks(
        self,
        session: aiohttp.ClientSession,
        stack: AsyncExitStack,
    ) -> None:
        """Start the timer and the polling of the upstream's state."""
        timer = asyncio.create_task(self.driver.run_timer())
        stack.callback(timer.cancel)
        upstream = self.settings.upstream
        if upstream.state_path:
            url = upstream.url.rstrip('/') + upstream.state_path
            poll = asyncio.create_task(
                poll_upstream_state(
                    session, url, self.driver.handle_upstream_state
                ),
            )
            stack.callback(poll.cancel)

    def _report_status(self) -> object:
        return make_status_report(
            self.settings.instance.name,
            self.plane.dissemination.state,
            self.loop.time(),
        )

    def _report_table(self) -> object:
        return make_table_report(
            self.settings.instance.name,
            self.plane.dissemination.state,
            self.loop.time(),
        )

    def _refresh_gauges(self) -> None:
        state = self.driver.state
        self.metrics.flows.set(len(state.flows))
        self.metrics.busy.set(state.busy)
        self.metrics.queued.set(len(state.queue))
        self.metrics.ledger.set(len(state.ledger.entries))

    def _record_revision(self, sender: Address, revision: int) -> None:
        """Report the sender of a later table revision to the dissemination."""
        if revision > self._get_revision():
            self.plane.dissemination.handle_revision(sender, revision)

    def _handle_change(self, parsed: ParsedDocument) -> None:
        """Apply a new table or instance list."""
        now = self.loop.time()
        if isinstance(parsed, Table):
            self.driver.dispatch(TableChanged(now, parsed))
            service = self.driver.state.service
            if service is not None:
                self.flows.set_service(service.number)
        else:
            self.driver.dispatch(InstancesChanged(now, parsed))
            balancers = parsed.select_data_addresses('balancer', 'live')
            self.flows.return_path.record_listed(balancers)

    def _handle_message(self, delivery: Delivery) -> None:
        """Pass an ask or an answer of another agent to the driver."""
        message = delivery.message
        if isinstance(message, Ask):
            self.driver.handle_ask(delivery.sender, message)
        elif isinstance(message, Answer):
            self.driver.handle_answer(message)


def _make_configuration(settings: AgentSettings) -> QuicConfiguration:
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=[_ALPN],
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=settings.limits.idle_seconds,
        max_data=CONNECTION_WINDOW,
        max_stream_data=STREAM_WINDOW,
    )
    tls: TlsSettings = settings.tls
    try:
        configuration.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ValueError) as error:
        raise ImproperlyConfigured((
            Fault(
                _BAD_CERTIFICATE,
                'tls',
                f'cannot load {tls.certificate} and {tls.key}: {error}',
                'give PEM files of a certificate and its key',
            ),
        )) from error
    return configuration
