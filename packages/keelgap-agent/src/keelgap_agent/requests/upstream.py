"""Requests to the upstream instance over HTTP/1.1."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final, TypedDict

import aiohttp
import msgspec
from multidict import CIMultiDict

from keelgap.control.messages import HeaderPairs
from keelgap_agent.defaults import ANSWER_KEPT_OCTETS
from keelgap_agent.quic.bodies import BodyCancelled
from keelgap_agent.requests.exchanges import Exchange
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer

__all__ = ('DEADLINE_HEADER', 'AnswerKeeper', 'UpstreamClient', 'watch_state')

#: Seconds that the caller still waits, for the upstream to read.
DEADLINE_HEADER: Final = 'keelgap-deadline'
#: Headers of one hop (RFC 9110, 7.6.1), which are not passed on.
_HOP_HEADERS: Final = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-connection',
    b'te',
    b'transfer-encoding',
    b'upgrade',
))


#: Pause between questions whether the upstream is leaving.
_STATE_SECONDS: Final = 1.0
_STATE_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)


class _StateDocument(TypedDict):
    state: str


class AnswerKeeper:
    """Collect an answer for the ledger while it streams by."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.headers: HeaderPairs = []
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Keep a part, unless the answer has grown too long."""
        self.size += len(part)
        if self.size <= ANSWER_KEPT_OCTETS:
            self.parts.append(part)

    def make_answer(self) -> StoredAnswer:
        """Return the answer as the ledger keeps it."""
        kept = self.size <= ANSWER_KEPT_OCTETS
        body = b''.join(self.parts) if kept else None
        return StoredAnswer(self.status, tuple(self.headers), body)


def strip_hop_headers(headers: HeaderPairs) -> HeaderPairs:
    """Return the headers that go end to end, with names in lower case."""
    return [
        (name.lower(), text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    ]


class UpstreamClient:
    """Run requests against one upstream instance."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Use a session that its owner closes."""
        self.session = session
        self.url = url.rstrip('/')

    async def run(
        self,
        exchange: Exchange,
        deadline_seconds: float,
        limit_seconds: float | None,
        on_head: Callable[[], None],
    ) -> Outcome:
        """Run a request to its end and stream the answer back.

        The limit bounds the whole run; None lets a long stream go on.
        Calls on_head when the first octets of the answer are there.
        """
        keeper = AnswerKeeper()
        try:
            async with asyncio.timeout(limit_seconds):
                await self._exchange(
                    exchange,
                    deadline_seconds,
                    keeper,
                    on_head,
                )
        except aiohttp.ClientConnectorError:
            return Outcome(OutcomeKind.NOT_SENT)
        except (BodyCancelled, asyncio.CancelledError):
            return Outcome(OutcomeKind.CANCELLED)
        except (aiohttp.ClientError, OSError):
            # TimeoutError is an OSError, too.
            return Outcome(OutcomeKind.BROKEN)
        return Outcome(OutcomeKind.ANSWERED, keeper.make_answer())

    async def _exchange(
        self,
        exchange: Exchange,
        deadline_seconds: float,
        keeper: AnswerKeeper,
        on_head: Callable[[], None],
    ) -> None:
        async with self.session.request(
            exchange.lines.method,
            self.url + exchange.lines.path,
            headers=self._make_headers(exchange, deadline_seconds),
            data=self._choose_body(exchange),
            allow_redirects=False,
        ) as answer:
            on_head()
            keeper.status = answer.status
            keeper.headers = strip_hop_headers(list(answer.raw_headers))
            exchange.send_head(answer.status, keeper.headers)
            async for part in answer.content.iter_any():
                keeper.add(part)
                await exchange.send_part(part)
        exchange.send_end()

    def _make_headers(
        self,
        exchange: Exchange,
        deadline_seconds: float,
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in strip_hop_headers(exchange.lines.headers)
        )
        headers[DEADLINE_HEADER] = f'{max(deadline_seconds, 0):.3f}'
        return headers

    def _choose_body(self, exchange: Exchange) -> object:
        body = exchange.body
        if body.ended and not body.chunks:
            return None
        return body.read()


async def watch_state(
    session: aiohttp.ClientSession,
    url: str,
    on_state: Callable[[bool], None],
) -> None:
    """Ask the upstream again and again whether it is leaving.

    A failed or odd answer says nothing: it makes nobody dead or alive.
    """
    while True:
        with suppress(aiohttp.ClientError, OSError, msgspec.DecodeError):
            async with session.get(url, timeout=_STATE_TIMEOUT) as answer:
                content = await answer.read()
            state = msgspec.json.decode(content, type=_StateDocument)
            on_state(state['state'] == 'draining')
        await asyncio.sleep(_STATE_SECONDS)
