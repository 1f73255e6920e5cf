"""The agent's driver: dispatches events and carries out their effects."""

import asyncio
from collections.abc import Callable, Iterator
from itertools import count
from types import MappingProxyType
from typing import Any, Final

from keelgap.addresses import Address
from keelgap.control.messages import Answer, Ask
from keelgap_agent import effects, events
from keelgap_agent.defaults import TIMER_SECONDS
from keelgap_agent.flows.flow_effects import FlowEffects
from keelgap_agent.ports import AgentPorts
from keelgap_agent.quic.connections import CallerConnection, ConnectionHooks
from keelgap_agent.quic.flow_table import FlowOffer
from keelgap_agent.quic.streams import CallerStream
from keelgap_agent.reducer import reduce
from keelgap_agent.requests.peer_requests import (
    PeerRequest,
    read_answer,
    read_problem,
)
from keelgap_agent.requests.request_effects import RequestEffects
from keelgap_agent.state import AgentState, LeaveReason

__all__ = ('AgentDriver', 'generate_request_ids')


#: Bits of a request id below the incarnation.  Incarnations are start times in
#: milliseconds, so ids stay unique up to 2**20 requests per millisecond.
_REQUEST_BITS: Final = 20


def generate_request_ids(incarnation: int) -> Iterator[int]:
    """Return request ids that no earlier process of this agent has used.

    Peers refer to requests by id, and an answer to an earlier incarnation
    must not reach a caller of this one.
    """
    return count((incarnation << _REQUEST_BITS) + 1)


class AgentDriver:
    """Connect the reducer to connections, the upstream and peers."""

    def __init__(self, state: AgentState) -> None:
        """Take the state; the ports must be set before the first event."""
        self.state = state
        self.ports: AgentPorts
        self.loop = asyncio.get_running_loop()
        self.exited = asyncio.Event()
        self.flow_effects = FlowEffects(self)
        self.request_effects = RequestEffects(self)
        self.request_ids = generate_request_ids(state.identity.incarnation)
        self.connection_hooks = ConnectionHooks(
            self._handle_request,
            self._handle_cancelled,
            self._handle_closed,
            self._transmit,
            lambda: next(self.request_ids),
            lambda connection_id: self.ports.flows.forget_id(connection_id),
            lambda: self.state.is_leaving,
        )
        self.effect_handlers = self._map_handlers()

    def dispatch(self, event: events.AgentEvent) -> None:
        """Apply an event to the state and carry out its effects."""
        state, emitted = reduce(self.state, event)
        self.state = state
        for effect in emitted:
            self.effect_handlers[type(effect)](effect)

    async def run_timer(self) -> None:
        """Dispatch timer events until cancelled."""
        while True:
            await asyncio.sleep(TIMER_SECONDS)
            self.dispatch(events.TimerFired(self.loop.time()))
            self.ports.flows.return_path.forget_silent(self.loop.time())

    def handle_offer(self, offer: FlowOffer) -> None:
        """Dispatch the offer of a new flow."""
        self.flow_effects.offer = offer
        envelope = offer.envelope
        self.dispatch(
            events.FlowOffered(
                self.loop.time(),
                offer.header.destination_cid,
                envelope.service,
                envelope.candidates,
                envelope.turn,
                self.ports.flows.count_handshakes(),
                offer.validated,
            ),
        )

    def handle_ask(self, asker: Address, ask: Ask) -> None:
        """Handle a request from a peer, unless it is in progress already."""
        asks = self.request_effects.peer_asks
        if (asker, ask.ask_id) in asks:
            return
        request = PeerRequest(
            next(self.request_ids),
            asker,
            ask,
            self.request_effects.answer_peer,
        )
        asks[asker, ask.ask_id] = request
        self.request_effects.exchanges[request.request_id] = request
        self.dispatch(
            events.PeerAsked(
                self.loop.time(),
                request.request_id,
                request.head,
                ask.run_only,
            ),
        )

    def handle_answer(self, answer: Answer) -> None:
        """Dispatch a peer's answer to a request that was sent to it."""
        self.dispatch(
            events.PeerAnswered(
                self.loop.time(),
                answer.ask_id,
                read_answer(answer),
                read_problem(answer),
            ),
        )

    def handle_upstream_state(self, draining: bool) -> None:
        """Dispatch a change of the upstream's own draining state."""
        now = self.loop.time()
        was_draining = LeaveReason.UPSTREAM in self.state.leave_reasons
        if draining != was_draining:
            self.dispatch(events.UpstreamStateRead(now, draining))

    def _map_handlers(self) -> MappingProxyType[type, Callable[[Any], None]]:
        """Return the method that carries out each type of effect."""
        flow = self.flow_effects
        request = self.request_effects
        return MappingProxyType({
            effects.TakeFlow: flow.take_flow,
            effects.PassFlow: flow.pass_flow,
            effects.ChallengeFlow: flow.challenge_flow,
            effects.RefuseFlow: flow.refuse_flow,
            effects.StopNewRequests: flow.stop_new_requests,
            effects.EndFlow: flow.end_flow,
            effects.StartRequest: request.start_request,
            effects.CancelRun: request.cancel_run,
            effects.AnswerRequest: request.answer_request,
            effects.RefuseRequest: request.refuse_request,
            effects.IssueTicket: request.issue_ticket,
            effects.AskPeer: request.ask_peer,
            effects.Drop: self._drop,
            effects.Count: self._count,
            effects.Observe: self._observe,
            effects.Exit: self._exit,
        })

    def _handle_request(self, stream: CallerStream) -> None:
        """Store a caller's request and dispatch its arrival."""
        self.request_effects.exchanges[stream.request_id] = stream
        self.dispatch(
            events.RequestArrived(
                self.loop.time(),
                stream.request_id,
                stream.transport.flow_id,
                stream.head,
            ),
        )

    def _handle_cancelled(self, stream: CallerStream) -> None:
        """Dispatch the cancellation of a request if it was submitted."""
        if stream.submitted:
            now = self.loop.time()
            self.dispatch(events.RequestCancelled(now, stream.request_id))
            if stream.request_id not in self.request_effects.runs:
                self.request_effects.exchanges.pop(stream.request_id, None)

    def _handle_closed(self, connection: CallerConnection) -> None:
        """Forget a connection that ended and dispatch the end of its flow."""
        self.ports.flows.forget(connection)
        now = self.loop.time()
        self.dispatch(events.FlowClosed(now, connection.flow_id))

    def _transmit(self, connection: CallerConnection) -> None:
        self.ports.flows.transmit(connection)

    def _drop(self, effect: effects.Drop) -> None:
        """Count a rejected datagram by its reason."""
        self.ports.metrics.drops.labels(effect.reason).inc()

    def _count(self, effect: effects.Count) -> None:
        self.ports.metrics.events.labels(effect.name).inc()

    def _observe(self, effect: effects.Observe) -> None:
        histogram = self.ports.metrics.histograms[effect.name]
        histogram.labels(effect.traffic_class).observe(effect.seconds)

    def _exit(self, effect: effects.Exit) -> None:
        """Set the event that lets the process exit."""
        self.exited.set()
