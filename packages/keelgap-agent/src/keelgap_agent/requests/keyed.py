"""Requests with an idempotency key, which run at most once.

Only the agent that issued the ticket of a key decides about the key.
"""

from keelgap.addresses import Address
from keelgap_agent import defaults
from keelgap_agent.effects import (
    AgentEffect,
    AskPeer,
    Count,
    IssueTicket,
    RefuseRequest,
)
from keelgap_agent.events import RequestHead
from keelgap_agent.requests.admission import admit
from keelgap_agent.requests.completion import complete, make_answer, refuse
from keelgap_agent.requests.ledger import EntryState, LedgerEntry, LedgerKey
from keelgap_agent.requests.peers import is_listed
from keelgap_agent.requests.problems import (
    LEDGER_FULL,
    MALFORMED_KEY,
    OUTCOME_PENDING,
    OUTCOME_UNKNOWN,
    TICKET_EXPIRED,
    TICKET_REFUSED,
    TICKET_REQUIRED,
    UPSTREAM_FAILED,
    Problem,
    ProblemType,
)
from keelgap_agent.requests.tickets import (
    MalformedKey,
    Ticket,
    TicketRefused,
    split_key,
)
from keelgap_agent.state import AgentState, Phase, Request

__all__ = ('retry_issuer_asks', 'issue_ticket', 'admit_keyed')

Effects = tuple[AgentEffect, ...]


def issue_ticket(
    state: AgentState,
    request: Request,
    head: RequestHead,
    now: float,
) -> Effects:
    """Answer with a ticket that is valid until this agent process ends."""
    service = state.service
    if service is None or state.is_leaving or state.ledger.is_full:
        return _refuse_with(state, request, LEDGER_FULL, 'no_ticket')
    age = int(now - state.identity.started_at)
    ticket = Ticket(
        state.identity.control,
        state.identity.incarnation,
        service.number,
        state.ledger.allocate_serial(),
        age + defaults.TICKET_LIFETIME_SECONDS,
        head.caller,
    )
    text = state.tickets.encode(ticket)
    effect = IssueTicket(request.request_id, text)
    return complete(state, request.request_id, effect)


def admit_keyed(
    state: AgentState,
    request: Request,
    head: RequestHead,
    now: float,
) -> Effects:
    """Admit a request with an Idempotency-Key, or repeat its earlier outcome.

    If another agent issued the key's ticket, that agent is asked to decide.
    """
    if head.key is None:
        return _refuse_with(state, request, TICKET_REQUIRED, 'no_key')
    try:
        ticket, suffix = _read_key(state, head.key)
    except MalformedKey:
        return _refuse_with(state, request, MALFORMED_KEY, 'malformed_key')
    except TicketRefused:
        return _refuse_with(state, request, TICKET_REFUSED, 'forged')
    mismatch = _find_mismatch(state, head, ticket)
    if mismatch is not None:
        return _refuse_with(state, request, TICKET_REFUSED, mismatch)
    if ticket.issuer != state.identity.control:
        return _ask_issuer(state, request, ticket.issuer, now)
    if ticket.incarnation != state.identity.incarnation:
        return _refuse_with(state, request, OUTCOME_UNKNOWN, 'restarted')
    key = LedgerKey(ticket.serial, ticket.caller, suffix)
    return _admit_own_key(state, request, (key, ticket), now)


def _read_key(state: AgentState, text: str) -> tuple[Ticket, str]:
    """Return the ticket and the suffix of an Idempotency-Key."""
    ticket_text, suffix = split_key(text)
    return state.tickets.decode(ticket_text), suffix


def _find_mismatch(
    state: AgentState,
    head: RequestHead,
    ticket: Ticket,
) -> str | None:
    """Return why a ticket does not fit a request, or None if it does.

    The ticket must be issued for the same service and the same caller.
    """
    if state.service is None or ticket.service != state.service.number:
        return 'foreign_service'
    if ticket.caller != head.caller:
        return 'foreign_caller'
    return None


def _admit_own_key(
    state: AgentState,
    request: Request,
    key_and_ticket: tuple[LedgerKey, Ticket],
    now: float,
) -> Effects:
    """Admit a request whose ticket this agent process issued.

    A repeated attempt gets the outcome of the first one instead.
    """
    key, ticket = key_and_ticket
    entry = state.ledger.find(key)
    if entry is not None:
        return _repeat_outcome(state, request, key, entry)
    expires_at = state.identity.started_at + ticket.expiry
    if now >= expires_at:
        return _refuse_with(state, request, TICKET_EXPIRED, 'expired')
    request.key = key
    request.key_expires_at = expires_at + defaults.LEDGER_RETENTION_SECONDS
    if ticket.serial < state.ledger.min_serial or state.ledger.is_full:
        return refuse(state, request, 'ledger_full', 0)
    if request.from_peer and not request.portable:
        return refuse(state, request, 'body_not_sent', 0)
    state.ledger.admit(key, request.key_expires_at)
    return admit(state, request, now)


def _repeat_outcome(
    state: AgentState,
    request: Request,
    key: LedgerKey,
    entry: LedgerEntry,
) -> Effects:
    """Answer an attempt whose key is already in the ledger.

    If the earlier attempt is not finished, this one waits for its outcome.
    """
    if entry.state is EntryState.ADMITTED:
        request.phase = Phase.WAITING_FOR_OUTCOME
        request.key = key
        entry.waiters.append(request.request_id)
        return (Count('keyed_attempts_waiting'),)
    if entry.state is EntryState.TOMBSTONE:
        request.key = key
        request.key_expires_at = entry.expires_at
        return refuse(state, request, 'refused_before', 0)
    if entry.answer is None:
        return _refuse_with(state, request, UPSTREAM_FAILED, 'broke_off')
    repeated = make_answer(request.request_id, entry.answer)
    return (
        Count('keyed_answers_repeated'),
        *complete(state, request.request_id, repeated),
    )


def _ask_issuer(
    state: AgentState,
    request: Request,
    issuer: Address,
    now: float,
) -> Effects:
    """Ask the agent that issued a request's ticket to run or answer it.

    A request that came from another agent is refused instead.
    """
    if request.from_peer:
        # Agents ask only the issuer itself and never forward an ask.
        return _refuse_with(state, request, TICKET_REFUSED, 'not_issuer')
    request.phase = Phase.ASKING_ISSUER
    request.issuer = issuer
    request.asked_at = now
    state.awaiting_peer[request.request_id] = request
    return _make_ask(request, issuer, now), Count('issuers_asked')


def _make_ask(request: Request, issuer: Address, now: float) -> AskPeer:
    """Return the effect that asks the issuer within the request's deadline."""
    remaining = request.deadline_at - now
    return AskPeer(request.request_id, issuer, False, remaining)


def retry_issuer_asks(state: AgentState, now: float) -> Effects:
    """Repeat asks that ticket issuers have not answered yet.

    Requests that waited too long for an issuer are refused.
    """
    asking = [
        request
        for request in state.awaiting_peer.values()
        if request.phase is Phase.ASKING_ISSUER
    ]
    effects: list[AgentEffect] = []
    for request in asking:
        effects.extend(_ask_again(state, request, now))
    return tuple(effects)


def _ask_again(state: AgentState, request: Request, now: float) -> Effects:
    """Repeat the ask of one request if due, or refuse it after the timeout."""
    issuer = request.issuer
    if issuer is None:
        return ()
    elapsed = now - request.arrived_at
    if elapsed >= defaults.ASK_TIMEOUT_SECONDS or now >= request.deadline_at:
        issuer_is_gone = not is_listed(state, issuer)
        kind = OUTCOME_UNKNOWN if issuer_is_gone else OUTCOME_PENDING
        return _refuse_with(state, request, kind, 'issuer_silent')
    if now - request.asked_at < defaults.ASK_RETRY_SECONDS:
        return ()
    request.asked_at = now
    return (_make_ask(request, issuer, now),)


def _refuse_with(
    state: AgentState,
    request: Request,
    kind: ProblemType,
    reason: str,
) -> Effects:
    """Count a refusal and complete the request with a problem of this type."""
    retry_after = defaults.ASK_RETRY_SECONDS if kind.is_temporary else None
    problem = Problem(kind, reason, retry_after)
    refusal = RefuseRequest(request.request_id, problem)
    return (
        Count(f'keyed_refused_{reason}'),
        *complete(state, request.request_id, refusal),
    )
