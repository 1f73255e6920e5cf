"""The control plane of a process: control channel and dissemination."""

import asyncio
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random
from typing import Final, NamedTuple

import aiohttp

from keelgap.addresses import Address, InvalidAddress, parse_address
from keelgap.conf import (
    ConfigServiceSettings,
    InstanceSettings,
    ListenSettings,
)
from keelgap.control.channel import ControlChannel
from keelgap.control.messages import Delivery
from keelgap.dissemination.document_reader import DocumentReader
from keelgap.dissemination.driver import DisseminationDriver, make_parsers
from keelgap.dissemination.state import (
    DisseminationIdentity,
    DisseminationState,
    DocumentKeys,
    ParsedDocument,
)
from keelgap.exceptions import Fault, ImproperlyConfigured
from keelgap.keys import FleetKeys
from keelgap.metrics import SharedMetrics

__all__ = (
    'ControlPlane',
    'ControlPlaneSettings',
    'make_incarnation',
    'start_control_plane',
)

_NANOSECONDS_PER_MILLISECOND: Final = 1000000
_BAD_SEED: Final = 'keelgap.E024'


class ControlPlaneSettings(NamedTuple):
    """The settings that the control plane uses."""

    instance: InstanceSettings
    listen: ListenSettings
    config_service: ConfigServiceSettings


class ControlPlane(NamedTuple):
    """The running control plane of a process."""

    channel: ControlChannel
    dissemination: DisseminationDriver


def make_incarnation() -> int:
    """Return a number that tells this run of the process from earlier ones.

    It is the start time in milliseconds since the epoch.
    """
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


async def start_control_plane(
    settings: ControlPlaneSettings,
    keys: FleetKeys,
    metrics: SharedMetrics,
    on_change: Callable[[ParsedDocument], None],
    on_other_message: Callable[[Delivery], None],
    stack: AsyncExitStack,
) -> ControlPlane:
    """Bind the control port and start dissemination until the stack closes.

    Messages that do not concern dissemination go to on_other_message.
    """
    address = settings.instance.address
    control = Address(address, settings.listen.control_port)

    def deliver(delivery: Delivery) -> None:
        """Deliver a message to the dissemination or to another part."""
        if not driver.handle_delivery(delivery):
            on_other_message(delivery)

    def count_drop(reason: str) -> None:
        metrics.drops.labels(reason).inc()

    channel = ControlChannel(control, keys, deliver, count_drop)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    driver = _make_driver(settings, channel, session, metrics, on_change)
    await channel.start(stack)
    driver.start(stack)
    return ControlPlane(channel, driver)


def _make_driver(
    settings: ControlPlaneSettings,
    channel: ControlChannel,
    session: aiohttp.ClientSession,
    metrics: SharedMetrics,
    on_change: Callable[[ParsedDocument], None],
) -> DisseminationDriver:
    """Return the dissemination driver with a reader of its documents."""
    random = Random()  # noqa: S311
    identity = DisseminationIdentity(
        channel.address,
        settings.instance.availability_zone,
        _parse_seeds(settings.listen.seeds, channel.address),
        DocumentKeys(
            settings.config_service.table_key,
            settings.config_service.instances_key,
        ),
    )
    # All events use the clock of the event loop.
    now = asyncio.get_running_loop().time()
    state = DisseminationState(
        identity, make_parsers(identity.document_keys), random, now
    )

    def on_document(key: str, content: bytes) -> None:
        driver.handle_document(key, content)

    reader = DocumentReader(
        session,
        settings.config_service,
        random,
        on_document,
    )
    driver = DisseminationDriver(state, channel, reader, metrics, on_change)
    return driver


def _parse_seeds(text: str, own: Address) -> tuple[Address, ...]:
    """Return the addresses of the seeds, except that of this process."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    try:
        seeds = tuple(parse_address(part) for part in parts)
    except InvalidAddress as error:
        raise ImproperlyConfigured((
            Fault(
                _BAD_SEED,
                'listen.seeds',
                f'{error} is not an address',
                'write IPv4:port, IPv4:port',
            ),
        )) from error
    return tuple(seed for seed in seeds if seed != own)
