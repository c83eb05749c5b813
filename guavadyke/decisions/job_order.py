"""Which job's chunks come first, and which host tries first for a chunk."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

_GATE_GROWTH = 4
_MOST_LOOKS = 8


@dataclasses.dataclass(frozen=True)
class JobPriority:
    """What the order of jobs depends on; times are seconds since the epoch.

    ``owner_items`` are items of the same owner that this host has in hand.
    """

    job_id: str
    owner: str
    due: float
    created: float
    owner_items: int = 0
    at_risk: bool = False
    cancelled: bool = False


def ordered(jobs: Iterable[JobPriority]) -> tuple[JobPriority, ...]:
    """Return the jobs in the order in which chunks are taken.

    Cancelled jobs only have to be closed and come first, then jobs at
    risk; among the rest owners take turns, the one with the fewest items
    in hand first, each with its earliest due.
    """
    by_due = sorted(
        jobs,
        key=lambda job: (
            not job.cancelled,
            not job.at_risk,
            job.due,
            job.created,
            job.job_id,
        ),
    )
    pressing = [job for job in by_due if job.cancelled or job.at_risk]
    rest = [job for job in by_due if not (job.cancelled or job.at_risk)]
    return (*pressing, *_taking_turns(rest))


def _taking_turns(jobs: Sequence[JobPriority]) -> tuple[JobPriority, ...]:
    in_hand = {job.owner: job.owner_items for job in jobs}
    owners = sorted(in_hand, key=lambda owner: in_hand[owner])
    queues = [[job for job in jobs if job.owner == owner] for owner in owners]
    rounds = itertools.zip_longest(*queues)
    return tuple(job for one in rounds for job in one if job is not None)


def allowed_claimants(looks: int) -> int:
    """Return the ranks that may try after so many looks in vain."""
    return int(_GATE_GROWTH ** min(looks, _MOST_LOOKS))
