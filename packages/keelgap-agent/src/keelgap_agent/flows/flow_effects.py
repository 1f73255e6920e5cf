"""Handlers of the effects on flows."""

from keelgap.wire.encapsulation import MessageKind
from keelgap_agent import effects, events
from keelgap_agent.ports import Dispatcher
from keelgap_agent.quic.flow_table import FlowOffer, FlowTable
from keelgap_agent.quic.handshakes import make_refusal

__all__ = ('FlowEffects',)


class FlowEffects:
    """Carry out the effects on flows."""

    def __init__(self, driver: Dispatcher) -> None:
        """Use the ports of a driver."""
        self.driver = driver
        #: The offer that admission is deciding about.
        self.offer: FlowOffer

    @property
    def flows(self) -> FlowTable:
        """Return the table of open flows."""
        return self.driver.ports.flows

    def take_flow(self, effect: effects.TakeFlow) -> None:
        """Open the connection of a new flow and feed it the first datagram."""
        offer = self.offer
        flows = self.flows
        connection = flows.accept(offer, self.driver.connection_hooks)
        now = self.driver.loop.time()
        self.driver.dispatch(events.FlowOpened(now, connection.flow_id))
        flows.feed(connection, offer.envelope, offer.via)

    def pass_flow(self, effect: effects.PassFlow) -> None:
        """Forward the first datagram of a flow to the next candidate agent."""
        offer = self.offer
        handover = offer.envelope._replace(
            kind=MessageKind.HANDOVER,
            via=offer.via,
            turn=effect.turn,
        )
        self.flows.sender.send(effect.agent, handover)
        self.flows.sender.acknowledge(offer.via)

    def challenge_flow(self, effect: effects.ChallengeFlow) -> None:
        """Answer the first datagram with a Retry."""
        offer = self.offer
        flows = self.flows
        caller = offer.envelope.caller
        retry = flows.validator.make_retry(
            offer.header,
            caller,
            self.driver.loop.time(),
        )
        flows.sender.send_to_caller(offer.via, caller, retry)

    def refuse_flow(self, effect: effects.RefuseFlow) -> None:
        """Close the connection attempt with CONNECTION_REFUSED."""
        offer = self.offer
        refusal = make_refusal(offer.header)
        self.flows.sender.send_to_caller(
            offer.via,
            offer.envelope.caller,
            refusal,
        )

    def stop_new_requests(self, effect: effects.StopNewRequests) -> None:
        """Send GOAWAY on every connection."""
        for connection in tuple(self.flows.flows.values()):
            connection.stop_new_requests()

    def end_flow(self, effect: effects.EndFlow) -> None:
        """Close a connection that has no open request."""
        connection = self.flows.flows.get(effect.flow_id)
        if connection is not None:
            connection.close()
