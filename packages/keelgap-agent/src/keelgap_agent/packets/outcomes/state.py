"""What an agent remembers for judging its upstream."""

from typing import NamedTuple

from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outcomes import defaults
from keelgap_agent.packets.outcomes.ejection import Ejection
from keelgap_agent.packets.outcomes.score import Score

__all__ = ('GivenUp', 'Outcomes', 'Work')


class Work:
    """A request at work at the upstream."""

    __slots__ = ('answers', 'before', 'key', 'latest')

    def __init__(self, key: bytes, now: float, answers: int, busy: int) -> None:
        """Start with the request's first packet."""
        self.key = key
        #: When the latest packet of the request was passed on.
        self.latest = now
        #: Answers of the upstream until then, and requests before this one.
        self.answers = answers
        self.before = busy


class GivenUp(NamedTuple):
    """A flow that waited here, and is not held any more."""

    at: float
    #: Whether its caller was told by a reset; else its balancer went on.
    is_reset: bool


class Outcomes:
    """What the packets showed of the requests of this upstream."""

    def __init__(self, now: float) -> None:
        """Start without requests."""
        self.score = Score()
        self.ejection = Ejection()
        #: Whether balancers must hear of a change at once.
        self.has_news = False
        #: Balancers that are behind, and must hear before what they are sent.
        self.untold: set[str] = set()
        #: Answers of the upstream so far.
        self.answers = 0
        #: Requests at work, the one that waits longest first.
        self.at_work: dict[Work, None] = {}
        #: Requests that were judged silent, and are still at work.
        self.stuck: set[Work] = set()
        #: Opening packets without an answer, oldest first.
        self.unopened: dict[bytes, EnvelopeArrived] = {}
        #: Flows whose caller or balancer was told that they are not held.
        self.given_up: dict[bytes, GivenUp] = {}
        self.began = now
        #: Since when this process has run without a pause.
        self.awake_since = now
        self.ticked_at = now

    def begin(self, key: bytes, now: float, busy: int) -> Work:
        """Note a request that the upstream gets."""
        work = Work(key, now, self.answers, busy)
        self.at_work[work] = None
        return work

    def go_on(self, work: Work, now: float) -> None:
        """Note another packet of a request."""
        if work in self.stuck:
            return
        self.at_work.pop(work)
        self.at_work[work] = None
        work.latest = now

    def end(self, work: Work) -> None:
        """Note that a request is no longer at work."""
        self.at_work.pop(work, None)
        self.stuck.discard(work)

    def judge_silent(self, work: Work) -> None:
        """Note that a request is not expected to be answered."""
        self.at_work.pop(work, None)
        self.stuck.add(work)

    def note_answer(self, work: Work | None) -> None:
        """Note an answer; one that was overdue shows a slow upstream."""
        self.answers += 1
        if work in self.stuck:
            self.score.take_back_silence()
            self.ejection.is_silent = False

    def would_lose(self, key: bytes) -> bool:
        """Return whether a request that is passed on now is surely lost.

        It is beside an ejected upstream that has answered nothing since it
        got one that is silent; only trials find out whether that is over.
        """
        if not self.ejection.is_out or self.ejection.is_taken(key):
            return False
        return any(work.answers == self.answers for work in self.stuck)

    def count_stuck(self) -> int:
        """Return the requests that take no room from a trial."""
        return len(self.stuck) if self.ejection.is_out else 0

    def forget(self, key: bytes) -> None:
        """Drop what is known of a flow."""
        self.unopened.pop(key, None)
        self.ejection.forget(key)

    def give_up(self, key: bytes, now: float, *, is_reset: bool) -> None:
        """Remember a flow that is not held any more."""
        self.forget(key)
        if len(self.given_up) >= defaults.MAX_GIVEN_UP:
            self.given_up.pop(next(iter(self.given_up)))
        self.given_up[key] = GivenUp(now, is_reset)

    def tick(self, now: float) -> None:
        """Note the time, and forget what is old."""
        if now - self.ticked_at > defaults.PAUSE_SECONDS:
            self.awake_since = now
        self.ticked_at = now
        limit = now - defaults.GIVEN_UP_SECONDS
        for key, given_up in tuple(self.given_up.items()):
            if given_up.at > limit:
                break
            self.given_up.pop(key)
        was_wanted = self.ejection.wants_trial
        self.ejection.update(now)
        self.has_news |= self.ejection.wants_trial != was_wanted
