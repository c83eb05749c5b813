"""Items of one open job on the host that works on it."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItem,
    ForwardItemResult,
    ResultPage,
    listed_ids,
)
from guavadyke.decisions.forward_routes import ForwardRoute

# Seconds before an item that did not end goes on, doubled up to the longest.
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 2.0
_MOST_DOUBLINGS = 6
# Seconds by which clocks of hosts may differ; an item is not given up
# before all of them are past its time.
_CLOCK_MARGIN_S = 5.0
# Seconds for which a route has to be missing before its items are given up.
_ROUTE_GONE_S = 3.0


@dataclasses.dataclass
class ItemState:
    """What this host knows of an item that has no result.

    ``failures`` counts the server's own failures, ``breaks`` the runs that
    ended in any other way since the item last got on.
    """

    item: ForwardItem
    failures: int = 0
    breaks: int = 0
    not_before: float = 0
    running: bool = False


class JobItemTracker:
    """Which items of a job may start, and which are given up.

    Args:
        job: the job.
    """

    def __init__(self, job: AcceptedJob) -> None:
        self.job = job
        self.loaded = False
        self._states = {item.item_id: ItemState(item) for item in job.items}
        self._unlisted: dict[str, ForwardItemResult] = {}
        self._route_missing_since: float | None = None

    @property
    def finished(self) -> bool:
        """Whether every item has a result that is listed."""
        return self.loaded and not self._states and not self._unlisted

    @property
    def unlisted(self) -> tuple[ForwardItemResult, ...]:
        """Results that are still to be listed, in the order they came."""
        return tuple(self._unlisted.values())

    def drop_stored(self, pages: Iterable[ResultPage]) -> None:
        """Take the results that are listed."""
        self.loaded = True
        for item_id in listed_ids(pages):
            self._unlisted.pop(item_id, None)
            self._states.pop(item_id, None)

    def startable_items(self, now: float) -> Iterator[ForwardItem]:
        """Yield the items that may start now, in the job's order."""
        if not self.loaded:
            return
        yield from (
            state.item
            for state in tuple(self._states.values())
            if not state.running and state.not_before <= now
        )

    def started(self, item_id: str) -> None:
        """Note the start of a run."""
        self._states[item_id].running = True

    def completed(self, item_id: str, text: str) -> None:
        """Take an item's whole text."""
        self._result(ForwardItemResult(item_id, completed=True, text=text))

    def rejected(self, item_id: str) -> None:
        """Take a server's word that the item can never be done."""
        self._result(ForwardItemResult(item_id, completed=False))

    def failed(self, item_id: str, attempts: int, now: float) -> None:
        """Take a server's failure; the last of the attempts is final."""
        state = self._states.get(item_id)
        if state is None:
            return
        state.failures += 1
        if state.failures >= attempts:
            self.rejected(item_id)
        else:
            self._pause(state, now)

    def broken(self, item_id: str, now: float) -> None:
        """Take a run that did not end; the item goes on later."""
        state = self._states.get(item_id)
        if state is not None:
            self._pause(state, now)

    def preempted(self, item_id: str) -> None:
        """Take a run that gave way; the item goes on when there is room."""
        state = self._states.get(item_id)
        if state is not None:
            state.running = False

    def give_up_overdue(
        self,
        route: ForwardRoute | None,
        now: float,
        wall: float,
    ) -> None:
        """Give up items whose route is gone or whose time is over.

        Args:
            route: the job's route, None where it is not configured.
            now: seconds of the monotonic clock.
            wall: seconds since the epoch.
        """
        if route is not None:
            self._route_missing_since = None
            limit_s = route.abandon_after_s
            over = self.job.accepted_at + limit_s + _CLOCK_MARGIN_S
            if limit_s and wall > over:
                self._give_up_all()
            return
        if self._route_missing_since is None:
            self._route_missing_since = now
        if now - self._route_missing_since >= _ROUTE_GONE_S:
            self._give_up_all()

    def counts(self) -> collections.Counter[str]:
        """Return how many items run, wait and are to be listed."""
        running = sum(state.running for state in self._states.values())
        return collections.Counter(
            running=running,
            waiting=len(self._states) - running,
            unlisted=len(self._unlisted),
        )

    def _give_up_all(self) -> None:
        for item_id, state in tuple(self._states.items()):
            if not state.running:
                self.rejected(item_id)

    def _result(self, listing: ForwardItemResult) -> None:
        if self._states.pop(listing.item_id, None) is not None:
            self._unlisted[listing.item_id] = listing

    def _pause(self, state: ItemState, now: float) -> None:
        doublings = min(state.breaks, _MOST_DOUBLINGS)
        state.breaks += 1
        state.running = False
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**doublings)
        state.not_before = now + pause_s
