"""Jobs whose items are forwarded: what was accepted and what is listed."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

# Bytes of texts from which a page takes no more results; it bounds what one
# more result writes again.
PAGE_BYTES = 49_152
_EMPTY_RESULT_BYTES = 64


@dataclasses.dataclass(frozen=True)
class ForwardItem:
    """One item as its caller gave it; ``path`` may hold a query."""

    item_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


@dataclasses.dataclass(frozen=True)
class AcceptedJob:
    """A job as it was accepted; times are seconds since the epoch.

    ``owner`` is the host that works on it first.
    """

    job_id: str
    route: str
    host: str
    accepted_at: float
    owner: str
    items: tuple[ForwardItem, ...]

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)

    def item(self, item_id: str) -> ForwardItem | None:
        """Return an item by its id."""
        found = (item for item in self.items if item.item_id == item_id)
        return next(found, None)


@dataclasses.dataclass(frozen=True)
class JobProgress:
    """What changes of a job besides its results.

    ``owner`` is the host that has taken it over, empty for the first one;
    ``listed_tokens`` are the tokens of the items that have a result.
    """

    owner: str = ''
    cancelled: bool = False
    finished: bool = False
    listed_tokens: int = 0

    def joined(self, other: JobProgress) -> JobProgress:
        """Return both; what was once said of a job stays said."""
        return JobProgress(
            owner=other.owner or self.owner,
            cancelled=self.cancelled or other.cancelled,
            finished=self.finished or other.finished,
            listed_tokens=max(self.listed_tokens, other.listed_tokens),
        )


@dataclasses.dataclass(frozen=True)
class JobView:
    """A job as a host sees it."""

    job: AcceptedJob
    progress: JobProgress = JobProgress()

    @property
    def owner(self) -> str:
        """Host that works on the job."""
        return self.progress.owner or self.job.owner

    @property
    def open(self) -> bool:
        """Whether there is work left."""
        return not (self.progress.finished or self.progress.cancelled)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that are not listed and still wanted."""
        if not self.open:
            return 0
        return max(0, self.job.tokens - self.progress.listed_tokens)


@dataclasses.dataclass(frozen=True)
class ForwardItemResult:
    """One result: the item's whole text, or that it was given up."""

    item_id: str
    completed: bool
    text: str = ''

    @property
    def size_bytes(self) -> int:
        """About the bytes that it takes in a page."""
        return len(self.text) + _EMPTY_RESULT_BYTES


@dataclasses.dataclass(frozen=True)
class ResultPage:
    """Some results in their order; a full page never changes again."""

    listings: tuple[ForwardItemResult, ...] = ()

    @property
    def full(self) -> bool:
        """Whether further results go to the next page."""
        return sum(one.size_bytes for one in self.listings) >= PAGE_BYTES

    def with_results(self, listings: Iterable[ForwardItemResult]) -> ResultPage:
        """Return the page with further results."""
        return ResultPage((*self.listings, *listings))


def listed_ids(pages: Iterable[ResultPage]) -> frozenset[str]:
    """Return the items that have a result."""
    return frozenset(one.item_id for one in listings(pages))


def listings(pages: Iterable[ResultPage]) -> Iterator[ForwardItemResult]:
    """Return the results of all pages in their order."""
    return itertools.chain.from_iterable(page.listings for page in pages)


def fitting(
    page: ResultPage,
    waiting: Sequence[ForwardItemResult],
) -> tuple[ForwardItemResult, ...]:
    """Return the results that go to the page, the first ones of all."""
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
    """Return the results whose items are not listed yet, each once."""
    listed = listed_ids(pages)
    first = {one.item_id: one for one in reversed(tuple(waiting))}
    return tuple(
        one for one in reversed(first.values()) if one.item_id not in listed
    )


def results_after(
    all_listings: Sequence[ForwardItemResult],
    after: int,
    most_bytes: int,
) -> tuple[ForwardItemResult, ...]:
    """Return the results from a position that fit, at least one if any."""
    wanted = all_listings[after:]
    sizes = itertools.accumulate(one.size_bytes for one in wanted)
    fit = sum(1 for size in sizes if size <= most_bytes)
    return tuple(wanted[: max(1, fit)])
