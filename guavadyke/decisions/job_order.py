"""Order of jobs for claiming chunks, and limits on competing claims."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

_CLAIMANT_GROWTH = 4
_MAX_GROWTH_STEPS = 8


@dataclasses.dataclass(frozen=True)
class JobPriority:
    """Attributes that order a job; times are seconds since the epoch.

    ``owner_items`` is the number of items of the job's owner in the chunks
    that this host holds.
    """

    job_id: str
    owner: str
    due: float
    created: float
    owner_items: int = 0
    at_risk: bool = False
    cancelled: bool = False


def order_jobs(jobs: Iterable[JobPriority]) -> tuple[JobPriority, ...]:
    """Return the jobs in the order in which their chunks are claimed.

    Cancelled jobs come first, since their chunks only have to be closed;
    then jobs at risk of ending late, by due time. The rest alternate
    between owners, the owner with the fewest items on this host first; the
    jobs of one owner are ordered by due time.
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
    urgent = [job for job in by_due if job.cancelled or job.at_risk]
    rest = [job for job in by_due if not (job.cancelled or job.at_risk)]
    return (*urgent, *_round_robin(rest))


def _round_robin(jobs: Sequence[JobPriority]) -> tuple[JobPriority, ...]:
    items_by_owner = {job.owner: job.owner_items for job in jobs}
    owners = sorted(items_by_owner, key=lambda owner: items_by_owner[owner])
    queues = [[job for job in jobs if job.owner == owner] for owner in owners]
    turns = itertools.zip_longest(*queues)
    return tuple(job for one in turns for job in one if job is not None)


def allowed_claimants(looks: int) -> int:
    """Return the number of hosts that may try to claim a chunk.

    It limits conflicting writes: only hosts whose rank for the chunk is
    below the returned number try.

    Args:
        looks: number of times that the job's list of chunks was read.
    """
    return int(_CLAIMANT_GROWTH ** min(looks, _MAX_GROWTH_STEPS))
