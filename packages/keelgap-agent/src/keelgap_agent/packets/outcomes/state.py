"""State that outlier ejection keeps about the upstream of an agent."""

from typing import NamedTuple

from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outcomes import defaults
from keelgap_agent.packets.outcomes.ejection import Ejection
from keelgap_agent.packets.outcomes.score import Score

__all__ = ('GivenUp', 'Outcomes', 'Work')


class Work:
    """A request that the upstream has received and not yet answered."""

    __slots__ = ('answers', 'before', 'key', 'latest')

    def __init__(self, key: bytes, now: float, answers: int, busy: int) -> None:
        """Start with the first packet of the request."""
        self.key = key
        #: When the latest packet of the request was sent to the upstream.
        self.latest = now
        #: Responses of the upstream before this request arrived.
        self.answers = answers
        #: Requests in flight when this one arrived.
        self.before = busy


class GivenUp(NamedTuple):
    """A flow that was queued at this agent and then abandoned."""

    abandoned_at: float
    #: Whether the caller got a reset; otherwise the flow was returned to its
    #: balancer, which continued with it.
    is_reset: bool


class Outcomes:
    """Outcomes of the upstream's requests, as seen in their packets."""

    def __init__(self, now: float) -> None:
        """Start without any request."""
        self.score = Score()
        self.ejection = Ejection()
        #: Whether a change must be reported to all balancers at once.
        self.has_news = False
        #: Balancers with outdated information, which get a report before
        #: anything else that is sent to them.
        self.untold: set[str] = set()
        #: Number of responses of the upstream so far.
        self.answers = 0
        #: Requests in flight, the one without a packet for longest first.
        self.at_work: dict[Work, None] = {}
        #: Requests that were counted as silent and are still in flight.
        self.stuck: set[Work] = set()
        #: Opening packets without a reply by flow key, oldest first.
        self.unopened: dict[bytes, EnvelopeArrived] = {}
        #: Flows whose caller or balancer was told that they were abandoned,
        #: by flow key, oldest first.
        self.given_up: dict[bytes, GivenUp] = {}
        self.began = now
        #: Since when this process has run without a pause.
        self.awake_since = now
        self.ticked_at = now

    def begin(self, key: bytes, now: float, busy: int) -> Work:
        """Start to track a request that is sent to the upstream."""
        request = Work(key, now, self.answers, busy)
        self.at_work[request] = None
        return request

    def go_on(self, request: Work, now: float) -> None:
        """Record that another packet of a request was sent."""
        if request in self.stuck:
            return
        self.at_work.pop(request)
        self.at_work[request] = None
        request.latest = now

    def end(self, request: Work) -> None:
        """Stop tracking a request that is no longer in flight."""
        self.at_work.pop(request, None)
        self.stuck.discard(request)

    def judge_silent(self, request: Work) -> None:
        """Mark a request for which no response is expected any more."""
        self.at_work.pop(request, None)
        self.stuck.add(request)

    def note_answer(self, request: Work | None) -> None:
        """Count a response.

        A response to a request that was counted as silent shows that the
        upstream is slow rather than unresponsive.
        """
        self.answers += 1
        if request in self.stuck:
            self.score.take_back_silence()
            self.ejection.is_silent = False

    def would_lose(self, key: bytes) -> bool:
        """Return whether a request sent to the upstream now is surely lost.

        That is so if the upstream is ejected and has sent no response since
        it received a request that is silent.  Only trials show whether it
        has recovered.
        """
        if not self.ejection.is_out or self.ejection.is_taken(key):
            return False
        return any(request.answers == self.answers for request in self.stuck)

    def count_stuck(self) -> int:
        """Return the number of requests that leave their capacity to trials.

        While the upstream is ejected these are the silent ones.
        """
        return len(self.stuck) if self.ejection.is_out else 0

    def forget(self, key: bytes) -> None:
        """Discard everything that is stored about a flow."""
        self.unopened.pop(key, None)
        self.ejection.forget(key)

    def give_up(self, key: bytes, now: float, *, is_reset: bool) -> None:
        """Remember that a flow was abandoned."""
        self.forget(key)
        if len(self.given_up) >= defaults.MAX_GIVEN_UP:
            self.given_up.pop(next(iter(self.given_up)))
        self.given_up[key] = GivenUp(now, is_reset)

    def tick(self, now: float) -> None:
        """Detect pauses of this process, expire old entries, update trials."""
        if now - self.ticked_at > defaults.PAUSE_SECONDS:
            self.awake_since = now
        self.ticked_at = now
        limit = now - defaults.GIVEN_UP_SECONDS
        for key, flow in tuple(self.given_up.items()):
            if flow.abandoned_at > limit:
                break
            self.given_up.pop(key)
        was_wanted = self.ejection.wants_trial
        self.ejection.update(now)
        self.has_news |= self.ejection.wants_trial != was_wanted
