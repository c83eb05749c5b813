"""Scheduling of the items of one forwarded batch job on its owner."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator

from guavadyke.decisions.forward_job_records import (
    MAX_CLOCK_SKEW_S,
    AcceptedJob,
    ForwardItem,
    ForwardItemResult,
    ResultPage,
    stored_result_ids,
)
from guavadyke.decisions.forward_routes import ForwardRoute

# Delay before an interrupted or failed item runs again. It doubles with each
# attempt.
_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 2.0
_MAX_DOUBLINGS = 6
# Items are given up only after their route has been missing for this time.
_ROUTE_MISSING_GRACE_S = 3.0


@dataclasses.dataclass
class ItemRunState:
    """Run history of an item that has no result.

    ``failures`` counts the failures that backend servers reported;
    ``delays`` counts the delayed retries and sets the next delay.
    ``not_before`` is in monotonic seconds. An item that is ``held`` may not
    start, because of its prompt.
    """

    item: ForwardItem
    failures: int = 0
    delays: int = 0
    not_before: float = 0
    running: bool = False
    held: bool = False

    def delay_retry(self, now: float) -> None:
        """End the run; the item may run again after a delay."""
        doublings = min(self.delays, _MAX_DOUBLINGS)
        self.delays += 1
        self.running = False
        self.not_before = now + min(
            _MAX_RETRY_DELAY_S, _MIN_RETRY_DELAY_S * 2**doublings
        )


class JobItemTracker:
    """Tracks the open items and the unwritten results of one job.

    Nothing starts before the stored results are read by ``drop_stored``.

    Args:
        job: the job as it was accepted.
    """

    def __init__(self, job: AcceptedJob) -> None:
        self.job = job
        self.loaded = False
        self._states = {item.item_id: ItemRunState(item) for item in job.items}
        self._unstored: dict[str, ForwardItemResult] = {}
        self._route_missing_since: float | None = None

    @property
    def finished(self) -> bool:
        """Whether the results of all items are stored."""
        return self.loaded and not self._states and not self._unstored

    @property
    def open_items(self) -> tuple[ItemRunState, ...]:
        """The items without a result."""
        return tuple(self._states.values())

    @property
    def unstored_results(self) -> tuple[ForwardItemResult, ...]:
        """Results that are not stored yet, in the order of arrival."""
        return tuple(self._unstored.values())

    def drop_stored(self, pages: Iterable[ResultPage]) -> None:
        """Drop the items whose results are on the stored pages."""
        self.loaded = True
        for item_id in stored_result_ids(pages):
            self._unstored.pop(item_id, None)
            self._states.pop(item_id, None)

    def startable_items(self, now: float) -> Iterator[ForwardItem]:
        """Yield the items that may start now, in the order of submission."""
        if not self.loaded:
            return
        yield from (
            state.item
            for state in tuple(self._states.values())
            if not (state.running or state.held) and state.not_before <= now
        )

    def hold(self, is_held: Callable[[ForwardItem], bool]) -> None:
        """Hold the waiting items for which this is so, and no others."""
        for state in self._states.values():
            state.held = not state.running and is_held(state.item)

    def started(self, item_id: str) -> None:
        """Record the start of a run."""
        self._states[item_id].running = True

    def completed(self, item_id: str, text: str) -> None:
        """Record an item's complete result."""
        self._add_result(ForwardItemResult(item_id, completed=True, text=text))

    def rejected(self, item_id: str) -> None:
        """Record that an item is given up, as when a server rejects it."""
        self._add_result(ForwardItemResult(item_id, completed=False))

    def failed(self, item_id: str, attempts: int, now: float) -> None:
        """Record a failure that a backend server reported.

        Args:
            item_id: the item; it runs again unless this was its last
                attempt, after which it is given up.
            attempts: maximum number of attempts.
            now: seconds of the monotonic clock.
        """
        state = self._states.get(item_id)
        if state is None:
            return
        state.failures += 1
        if state.failures >= attempts:
            self.rejected(item_id)
        else:
            state.delay_retry(now)

    def broken(self, item_id: str, now: float) -> None:
        """Record an interrupted run; the item runs again after a delay."""
        state = self._states.get(item_id)
        if state is not None:
            state.delay_retry(now)

    def preempted(self, item_id: str) -> None:
        """Record a preempted run; the item may run again at once."""
        state = self._states.get(item_id)
        if state is not None:
            state.running = False

    def give_up_overdue(
        self,
        route: ForwardRoute | None,
        now: float,
        wall: float,
    ) -> None:
        """Give up waiting items whose route is gone or whose time is over.

        Args:
            route: the job's route, None if it is not configured.
            now: seconds of the monotonic clock.
            wall: seconds since the epoch.
        """
        if route is not None:
            self._route_missing_since = None
            limit_s = route.abandon_after_s
            # The clocks of all hosts are past it.
            abandon_at = self.job.accepted_at + limit_s + MAX_CLOCK_SKEW_S
            if limit_s and wall > abandon_at:
                self._give_up_all()
            return
        if self._route_missing_since is None:
            self._route_missing_since = now
        if now - self._route_missing_since >= _ROUTE_MISSING_GRACE_S:
            self._give_up_all()

    def _give_up_all(self) -> None:
        for item_id, state in tuple(self._states.items()):
            if not state.running:
                self.rejected(item_id)

    def _add_result(self, listing: ForwardItemResult) -> None:
        if self._states.pop(listing.item_id, None) is not None:
            self._unstored[listing.item_id] = listing


def count_items(work: JobItemTracker) -> collections.Counter[str]:
    """Return the counts of running, waiting, held and unlisted items of a job.

    Unlisted items have a result that is not stored yet.
    """
    running = sum(state.running for state in work.open_items)
    held = sum(state.held for state in work.open_items)
    return collections.Counter(
        running=running,
        waiting=len(work.open_items) - running - held,
        held=held,
        unlisted=len(work.unstored_results),
    )
