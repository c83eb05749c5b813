"""Records of forwarded batch jobs: items, progress and result pages."""

from __future__ import annotations

import dataclasses
import functools
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

from guavadyke.decisions.prompt_quarantine import whole_item
from guavadyke.decisions.request_cost import NO_SIZE, RequestSize
from guavadyke.decisions.request_fingerprint import RequestIdentity, fingerprint

# A result page of this size is full. Appending a result rewrites its whole
# page, so this bounds the bytes written again for each result.
PAGE_BYTES = 49_152
# Maximum clock difference between hosts.
MAX_CLOCK_SKEW_S = 5.0
_EMPTY_RESULT_BYTES = 64


@dataclasses.dataclass(frozen=True)
class ForwardItem:
    """One item as submitted; ``path`` may include a query string.

    ``prompt_parts`` are the ids of the parts of its prompt that other requests
    may share, in order; ``size`` is what it states of its size.
    """

    item_id: str
    path: str
    # Headers of an older release may contain a key, which is not shown.
    headers: Mapping[str, str] = dataclasses.field(repr=False)
    body: bytes
    tokens: int
    prompt_parts: tuple[str, ...] = ()
    size: RequestSize = NO_SIZE


@dataclasses.dataclass(frozen=True)
class AcceptedJob:
    """A job as it was accepted; it never changes afterwards.

    ``accepted_at`` is seconds since the epoch. ``host`` is the host name of
    the caller's request, ``owner`` the entry host that runs the job first.
    ``team`` names the team that submitted it, empty for none.
    """

    job_id: str
    route: str
    host: str
    accepted_at: float
    owner: str
    items: tuple[ForwardItem, ...]
    team: str = ''

    def visible_to(self, team: str | None) -> bool:
        """Return whether a team may read and cancel the job.

        A job of no team is visible to all; None stands for a caller who sees
        the jobs of all teams.
        """
        return team is None or self.team in {'', team}

    @property
    def tokens(self) -> int:
        """Total tokens of all items."""
        return sum(item.tokens for item in self.items)

    def suspect_parts(self, item: ForwardItem) -> tuple[str, ...]:
        """Return the parts of an item's prompt that may crash servers.

        The last one stands for the item as a whole.
        """
        return (
            *item.prompt_parts,
            whole_item(self._fingerprints[item.item_id]),
        )

    def item(self, item_id: str) -> ForwardItem | None:
        """Return an item by its id, None if the job has no such item."""
        found = (item for item in self.items if item.item_id == item_id)
        return next(found, None)

    @functools.cached_property
    def _fingerprints(self) -> Mapping[str, str]:
        """The fingerprints of all items by item id."""
        return {
            item.item_id: fingerprint(
                RequestIdentity(self.host, 'POST', item.path, '', item.body)
            )
            for item in self.items
        }


@dataclasses.dataclass(frozen=True)
class JobProgress:
    """Mutable state of a job apart from its results.

    ``owner`` is the host that has taken the job over, empty while the first
    owner runs it; ``claimed`` is whether it did so from a host that may not
    know it yet. ``listed_tokens`` counts the tokens of the items whose
    results are stored. ``version`` is that of the platform's object, 0 where
    it is not known.
    """

    owner: str = ''
    claimed: bool = False
    cancelled: bool = False
    finished: bool = False
    listed_tokens: int = 0
    version: int = dataclasses.field(default=0, compare=False)

    def merged(self, other: JobProgress) -> JobProgress:
        """Return the merge of this state with a later one.

        Flags stay set and ``listed_tokens`` never decreases; an owner in
        ``other`` replaces the one known here.
        """
        return JobProgress(
            owner=other.owner or self.owner,
            claimed=other.claimed if other.owner else self.claimed,
            cancelled=self.cancelled or other.cancelled,
            finished=self.finished or other.finished,
            listed_tokens=max(self.listed_tokens, other.listed_tokens),
            version=max(self.version, other.version),
        )


@dataclasses.dataclass(frozen=True)
class JobView:
    """A job with the progress that this host knows of."""

    job: AcceptedJob
    progress: JobProgress = JobProgress()

    @property
    def owner(self) -> str:
        """Id of the host that runs the job now."""
        return self.progress.owner or self.job.owner

    @property
    def open(self) -> bool:
        """Whether the job is neither finished nor cancelled."""
        return not (self.progress.finished or self.progress.cancelled)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of items without a stored result; 0 for a closed job."""
        if not self.open:
            return 0
        return max(0, self.job.tokens - self.progress.listed_tokens)


@dataclasses.dataclass(frozen=True)
class ForwardItemResult:
    """Result of one item: its full text, or that it was given up."""

    item_id: str
    completed: bool
    text: str = ''

    @property
    def size_bytes(self) -> int:
        """Approximate size of the result in a page."""
        return len(self.text) + _EMPTY_RESULT_BYTES


@dataclasses.dataclass(frozen=True)
class ResultPage:
    """Consecutive results of a job; a full page never changes again."""

    listings: tuple[ForwardItemResult, ...] = ()

    @property
    def full(self) -> bool:
        """Whether further results belong on the next page."""
        return sum(one.size_bytes for one in self.listings) >= PAGE_BYTES

    def with_results(self, listings: Iterable[ForwardItemResult]) -> ResultPage:
        """Return a page with these results added at its end."""
        return ResultPage((*self.listings, *listings))


def stored_result_ids(pages: Iterable[ResultPage]) -> frozenset[str]:
    """Return the ids of the items that have a stored result."""
    return frozenset(one.item_id for one in listings(pages))


def listings(pages: Iterable[ResultPage]) -> Iterator[ForwardItemResult]:
    """Iterate over the results of all pages in order."""
    return itertools.chain.from_iterable(page.listings for page in pages)


def results_for_page(
    page: ResultPage,
    waiting: Sequence[ForwardItemResult],
) -> tuple[ForwardItemResult, ...]:
    """Return the leading results that are appended to ``page``.

    The result that crosses ``PAGE_BYTES`` is included and fills the page.
    """
    sizes = itertools.accumulate(
        (one.size_bytes for one in waiting),
        initial=sum(one.size_bytes for one in page.listings),
    )
    return tuple(
        one
        for one, before in zip(waiting, sizes, strict=False)
        if before < PAGE_BYTES
    )


def unstored_results(
    pages: Iterable[ResultPage],
    waiting: Iterable[ForwardItemResult],
) -> tuple[ForwardItemResult, ...]:
    """Return the results whose items are not on any page yet.

    If an item has several results, the first one counts.
    """
    listed = stored_result_ids(pages)
    first = {one.item_id: one for one in reversed(tuple(waiting))}
    return tuple(
        one for one in reversed(first.values()) if one.item_id not in listed
    )


def results_after(
    all_results: Sequence[ForwardItemResult],
    after: int,
    max_bytes: int,
) -> tuple[ForwardItemResult, ...]:
    """Return the results of one response to a caller who reads results.

    Args:
        all_results: all results of the job in order.
        after: number of results that the caller has already read.
        max_bytes: maximum size; a single larger result is still returned.
    """
    wanted = all_results[after:]
    sizes = itertools.accumulate(one.size_bytes for one in wanted)
    fit = sum(1 for size in sizes if size <= max_bytes)
    return tuple(wanted[: max(1, fit)])
