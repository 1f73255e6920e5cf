"""Services that hold flows of a route which leads to this agent's service.

The operators may send the new flows of a route to this service at any time.
The open ones stay at the agents of another service, which tell balancers so;
balancers pass it on to the agents here.  A balancer that has just started knows
nothing of it, but asks the agents of the route's present service before it
resets a flow.  Each denial of such a flow therefore names the other services.
"""

from collections.abc import Iterable

from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.formats import get_route_key
from keelgap.packets.route_services import (
    NO_SERVICE_TAG,
    RouteService,
    pack_route_services,
    unpack_route_services,
)
from keelgap_agent.packets.effects import AgentEffect, Decided, SendToPeer
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState

__all__ = (
    'handle_route_services',
    'precede_denial',
)

Effects = tuple[AgentEffect, ...]


def handle_route_services(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Record services that hold flows of routes; raise MalformedEnvelope.

    Records of this agent's own service are ignored.
    """
    rows = [
        row
        for row in unpack_route_services(event.envelope.content)
        if row.service_tag != state.service_tag
    ]
    added = [row for row in rows if state.routes.record_service(row, event.now)]
    if not added:
        return ()
    fields = {
        'told_by': event.sender,
        'added': len(added),
        'services': len({row.service_tag for row in added}),
        'known': state.routes.service_count,
    }
    return (Decided('route_services_told', fields),)


def precede_denial(
    state: AgentState,
    denial: SendToPeer,
    flow_keys: Iterable[bytes],
) -> Effects:
    """Return a denial of flows, preceded by the other services of their routes.

    The denial is marked then, so that the balancer does not count it if the
    message before it was lost.  Routes of which no other service is known are
    named without one, since some flows of a denial may be of others.
    """
    services = state.routes.services
    route_keys = dict.fromkeys(map(get_route_key, flow_keys))
    if services.keys().isdisjoint(route_keys):
        return (denial,)
    rows = [
        RouteService(route_key, tag)
        for route_key in route_keys
        for tag in services.get(route_key, (NO_SERVICE_TAG,))
    ]
    marked = denial.envelope._replace(slots=1)
    return (
        *(
            state.send(denial.host, EnvelopeKind.ROUTE_SERVICES, content)
            for content in pack_route_services(rows)
        ),
        denial._replace(envelope=marked),
    )
