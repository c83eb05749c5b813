"""Promises on items of jobs, and on requests that crash engines."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from features.soak_bounds import (
    MIN_CRASHES,
    item_text,
    owed_at,
    trial_due_s,
    undone,
)
from features.soak_history import (
    SLACK_S,
    EngineEnd,
    History,
    ListedItem,
    Listing,
    SoakJob,
    Trouble,
    in_touch_since,
)

# Items of a cancelled job do not start after this time.
_CANCEL_S = 3.0
# After this time an open item may be given up.
_MAX_WAIT_S = 60.0
# All hosts know of engines that ended after this time.
_KNOWN_S = 2.0
# A host takes ends of so many engines in this time for a fault of its own.
_AT_ONCE_S = 0.05
# Any host lists what any host has listed after this time.
_SETTLE_S = 1.0
_COMPLETED = 'completed'


def _undone(history: History) -> Iterator[str]:
    for job, entry in undone(history):
        owed_s = owed_at(history, job, entry)
        if history.read_until_s > owed_s:
            yield (
                f'LOST: {entry} of {job.job_id} is not listed at '
                f'{history.read_until_s:.2f} s, owed at {owed_s:.2f} s'
            )


def _late(history: History) -> Iterator[str]:
    """Find items that were listed after they were owed."""
    first_s: dict[tuple[str, str], float] = {}
    for listing in history.listings:
        for found in listing.listed:
            key = (listing.job_id, found.item_id)
            first_s[key] = min(first_s.get(key, listing.read_s), listing.read_s)
    for job in history.jobs:
        for entry in job.items:
            listed_s = first_s.get((job.job_id, entry.item_id), 0)
            # Results are read once a second.
            owed_s = owed_at(history, job, entry) + 1 + SLACK_S
            if not job.end_asked and listed_s > owed_s:
                yield f'LOST: {entry} is listed late, at {listed_s:.2f} s'


def _positions(history: History) -> Iterator[str]:
    """Find items at two positions and positions that have changed."""
    known: dict[tuple[str, int], ListedItem] = {}
    for listing in history.listings:
        counts = collections.Counter(one.item_id for one in listing.listed)
        for item_id, count in counts.items():
            if count > 1:
                yield f'TWICE: {item_id} at {count} positions'
        for position, found in enumerate(listing.listed):
            before = known.setdefault((listing.job_id, position), found)
            if before != found:
                yield f'TWICE: position {position} had {before}, now {found}'


def _readable(history: History) -> Iterator[str]:
    """Find results that were read and are not listed at the end."""
    read: collections.Counter[str] = collections.Counter()
    for listing in history.listings:
        length = max(read[listing.job_id], len(listing.listed))
        read[listing.job_id] = length
    for last in history.listings:
        missing = read[last.job_id] - len(last.listed)
        if last.final and missing:
            yield (
                f'LOST: {missing} results of {last.job_id} that were read are '
                f'not listed by host {last.host}'
            )


def _settled(history: History) -> Iterator[str]:
    """Find reads that miss a job or positions that hosts had to know of."""
    for job in history.jobs:
        reads = [one for one in history.listings if one.job_id == job.job_id]
        for read in reads:
            if _is_short(history, job, reads, read):
                listed = 'no job' if read.unknown else len(read.listed)
                yield (
                    f'LOST: host {read.host} lists {listed} of {job.job_id}, '
                    f'asked at {read.sent_s:.2f} s'
                )


def _is_short(
    history: History, job: SoakJob, reads: Iterable[Listing], read: Listing
) -> bool:
    """Return whether a host had to know of a job, or of more results."""
    due_s = read.sent_s - _SETTLE_S
    if job.accepted_s > due_s or not _is_in_touch(history, read, due_s):
        return False
    known = (len(one.listed) for one in reads if one.read_s < due_s)
    return read.unknown or len(read.listed) < max(known, default=0)


def _is_in_touch(history: History, read: Listing, since_s: float) -> bool:
    """Return whether a host hears the platform until it has answered."""
    for_s = read.read_s - since_s
    return in_touch_since(history, since_s, for_s, read.host) == since_s


def _texts(history: History) -> Iterator[str]:
    jobs = {job.job_id: job for job in history.jobs}
    listings = sorted(history.listings, key=_read_at, reverse=True)
    first_s = {
        (listing.job_id, found): listing.read_s
        for listing in listings
        for found in listing.listed
    }
    for (job_id, found), read_s in first_s.items():
        if found.state == _COMPLETED:
            if found.text != item_text(found.item_id):
                yield f'MIXED: not the whole text: {found}'
        elif not _may_be_given_up(jobs[job_id], read_s):
            yield f'MIXED: given up too early: {found}'


def _read_at(listing: Listing) -> float:
    return listing.read_s


def _may_be_given_up(job: SoakJob, read_s: float) -> bool:
    return job.end_asked or read_s >= job.accepted_s + _MAX_WAIT_S


def _cancelled(history: History) -> Iterator[str]:
    jobs = {entry.item_id: job for job in history.jobs for entry in job.items}
    for run in history.runs:
        job = jobs.get(run.request_id)
        if job is None or run.at_s < job.ended_s:
            continue
        since_s = in_touch_since(history, job.ended_s, _CANCEL_S)
        if run.at_s > since_s + _CANCEL_S + SLACK_S:
            yield f'UNASKED: cancelled at {job.ended_s:.2f} s: {run}'


def _budget(history: History) -> Iterator[str]:
    """Find engines that ended under a name which was not due to be tried."""
    for name in sorted({end.cause for end in history.ends} - {''}):
        crashes = [end for end in history.ends if end.cause == name]
        crashes.sort(key=_at)
        for number, crash in enumerate(crashes):
            if _is_early(history, crashes[:number], crash):
                yield f'BUDGET: engine {number + 1} under {name}: {crash}'


def _is_early(
    history: History, before: Iterable[EngineEnd], crash: EngineEnd
) -> bool:
    """Return whether hosts had to know that a crash would come."""
    counted = _counted(history, before, crash.at_s)
    due_s = trial_due_s(crash.cause, (end.at_s for end in counted))
    if due_s is None or crash.at_s + SLACK_S >= due_s:
        return False
    third_s = counted[MIN_CRASHES - 1].at_s
    return crash.at_s > _known_at(history, third_s) + SLACK_S


def _counted(
    history: History, crashes: Iterable[EngineEnd], at_s: float
) -> list[EngineEnd]:
    """Return the crashes that the whole fleet has to know of at a time.

    One is told to nobody if a host is killed meanwhile or if many engines
    ended at once.
    """
    return [
        crash
        for crash in crashes
        if not _is_untold(history, crash)
        and (
            in_touch_since(history, crash.at_s, _KNOWN_S) == crash.at_s
            or _known_at(history, crash.at_s) < at_s
        )
    ]


def _is_untold(history: History, crash: EngineEnd) -> bool:
    together = [
        end for end in history.ends if abs(end.at_s - crash.at_s) <= _AT_ONCE_S
    ]
    return len(together) >= MIN_CRASHES or any(
        _is_kill(trouble)
        and trouble.overlaps(crash.at_s - SLACK_S, crash.at_s + _KNOWN_S)
        for trouble in history.troubles
    )


def _is_kill(trouble: Trouble) -> bool:
    return trouble.kind == 'killed'


def _known_at(history: History, at_s: float) -> float:
    return in_touch_since(history, at_s, _KNOWN_S) + _KNOWN_S


def _at(end: EngineEnd) -> float:
    return end.at_s


CHECKS = (
    _undone,
    _late,
    _positions,
    _readable,
    _settled,
    _texts,
    _cancelled,
    _budget,
)
