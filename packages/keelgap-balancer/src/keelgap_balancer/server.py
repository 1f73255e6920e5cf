"""Server of a balancer: sockets, control plane and admin port."""

import asyncio
from contextlib import AsyncExitStack, ExitStack
from typing import TypedDict

from keelgap.addresses import Address
from keelgap.admin import (
    make_status_report,
    make_table_report,
    start_admin,
)
from keelgap.control.messages import Delivery
from keelgap.control_plane import (
    ControlPlane,
    ControlPlaneSettings,
    make_incarnation,
    start_control_plane,
)
from keelgap.dissemination.state import ParsedDocument
from keelgap.keys import load_keys
from keelgap.metrics import SharedMetrics
from keelgap.table import Table
from keelgap_balancer.conf import BalancerSettings
from keelgap_balancer.defaults import TIMER_SECONDS
from keelgap_balancer.driver import BalancerDriver
from keelgap_balancer.events import (
    InstancesChanged,
    StopRequested,
    TableChanged,
)
from keelgap_balancer.state import BalancerState

__all__ = ('BalancerServer',)


class UpstreamReport(TypedDict):
    """State of one upstream in the view of this balancer."""

    service: str
    name: str
    agent: str
    state: str
    weight: float
    takes_new_flows: bool
    suspect: bool


class BalancerServer:
    """Server that runs and drains a balancer and reports its state."""

    def __init__(self, settings: BalancerSettings) -> None:
        """Load the keys; raise ImproperlyConfigured with all faults."""
        self.settings = settings
        self.keys = load_keys(settings.keys)
        self.metrics = SharedMetrics()
        self.driver: BalancerDriver
        self.plane: ControlPlane
        self.loop = asyncio.get_running_loop()

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind all sockets and start the tasks; the stack closes them."""
        instance = self.settings.instance
        listen = self.settings.listen
        data_address = Address(instance.address, listen.data_port)
        state = BalancerState(
            data_address, self.keys.make_connection_id_codec()
        )
        envelopes = self.keys.make_envelope_codec(
            make_incarnation(), data_address
        )
        self.driver = BalancerDriver(state, envelopes, self.metrics)
        self.driver.start(stack.enter_context(ExitStack()))
        self.plane = await start_control_plane(
            ControlPlaneSettings(
                instance, listen, self.settings.config_service
            ),
            self.keys,
            self.metrics,
            self._handle_change,
            self._count_stray_message,
            stack,
        )
        self.driver.on_revision_seen = self.plane.dissemination.handle_revision
        timer = asyncio.create_task(self.driver.run_timer())
        stack.callback(timer.cancel)
        await start_admin(
            Address(instance.address, listen.admin_port),
            {
                '/status': self._report_status,
                '/table': self._report_table,
                '/upstreams': self.list_upstreams,
            },
            (self.metrics, lambda: None),
            lambda: self.driver.state.stopping,
            stack,
        )

    async def drain(self) -> None:
        """Shut down gracefully: forward until callers send no more datagrams.

        The network still routes datagrams here for a while; the settings
        limit how long.
        """
        started = self.loop.time()
        self.driver.dispatch(StopRequested(started))
        settings = self.settings.drain
        while True:
            await asyncio.sleep(TIMER_SECONDS)
            now = self.loop.time()
            last = max(self.driver.state.last_caller_datagram_at, started)
            if now - last >= settings.quiet_seconds:
                return
            if now - started >= settings.longest_seconds:
                return

    def list_upstreams(self) -> list[UpstreamReport]:
        """Return every upstream of the table in force."""
        state = self.driver.state
        return [
            UpstreamReport(
                service=upstream.service,
                name=upstream.name,
                agent=str(upstream.agent),
                state=upstream.state,
                weight=upstream.weight,
                takes_new_flows=any(
                    eligible.name == upstream.name
                    for _, eligible in state.eligible_upstreams.get(number, ())
                ),
                suspect=state.health.is_suspect(upstream.agent),
            )
            for number, members in state.table.upstreams.items()
            for upstream in members
        ]

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

    def _handle_change(self, parsed: ParsedDocument) -> None:
        """Dispatch a new table or instance list."""
        now = self.loop.time()
        if isinstance(parsed, Table):
            self.driver.dispatch(TableChanged(now, parsed))
        else:
            self.driver.dispatch(InstancesChanged(now, parsed))

    def _count_stray_message(self, delivery: Delivery) -> None:
        """Count a control message that a balancer has no use for."""
        self.metrics.drops.labels('stray_message').inc()
