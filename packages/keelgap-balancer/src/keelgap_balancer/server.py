"""A whole balancer: sockets, control side and admin in one exit stack."""

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
from keelgap.dissemination.state import Parsed
from keelgap.keys import load_keys
from keelgap.metrics import SharedMetrics
from keelgap.plane import (
    ControlPlane,
    PlaneSettings,
    make_incarnation,
    start_control_plane,
)
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
    """One upstream as this balancer sees it."""

    service: str
    name: str
    agent: str
    state: str
    weight: float
    takes_new_flows: bool
    suspect: bool


class BalancerServer:
    """Start, drain and describe one balancer."""

    def __init__(self, settings: BalancerSettings) -> None:
        """Load the keys; raises ImproperlyConfigured with every fault."""
        self.settings = settings
        self.keys = load_keys(settings.keys)
        self.metrics = SharedMetrics()
        self.driver: BalancerDriver
        self.plane: ControlPlane
        self.loop = asyncio.get_running_loop()

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind everything; the stack closes it."""
        instance = self.settings.instance
        listen = self.settings.listen
        data = Address(instance.address, listen.data_port)
        state = BalancerState(data, self.keys.make_connection_ids())
        envelopes = self.keys.make_envelopes(make_incarnation(), data)
        self.driver = BalancerDriver(state, envelopes, self.metrics)
        self.driver.start(stack.enter_context(ExitStack()))
        self.plane = await start_control_plane(
            PlaneSettings(instance, listen, self.settings.config_service),
            self.keys,
            self.metrics,
            self._take_change,
            self._count_stray,
            stack,
        )
        self.driver.on_revision_seen = self.plane.dissemination.note_revision
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
        """Leave in a planned way: forward until the fabric is quiet."""
        started = self.loop.time()
        self.driver.dispatch(StopRequested(started))
        settings = self.settings.drain
        while True:
            await asyncio.sleep(TIMER_SECONDS)
            now = self.loop.time()
            last = max(self.driver.state.last_caller_datagram, started)
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
                    taker.name == upstream.name
                    for _, taker in state.takers.get(number, ())
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

    def _take_change(self, parsed: Parsed) -> None:
        now = self.loop.time()
        if isinstance(parsed, Table):
            self.driver.dispatch(TableChanged(now, parsed))
        else:
            self.driver.dispatch(InstancesChanged(now, parsed))

    def _count_stray(self, delivery: Delivery) -> None:
        self.metrics.drops.labels('stray_message').inc()
