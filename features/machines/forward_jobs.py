"""Forwarded jobs on hosts that lose answers, die and race each other.

The oracle holds, for each job, the items that were accepted and the
positions that were read.
"""

from __future__ import annotations

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.errors import GuavadykeError

HOSTS = ('host-1', 'host-2', 'host-3')
JOBS = ('job-1', 'job-2')
ITEMS = 5

hosts = st.sampled_from(HOSTS)
jobs = st.sampled_from(JOBS)
chosen_items = st.sets(st.integers(0, ITEMS - 1), min_size=1)


@dataclasses.dataclass
class KnownJob:
    """What callers know of a job."""

    read: list[ForwardItemResult] = dataclasses.field(default_factory=list)
    cancelled: bool = False


class ForwardJobsMachine(RuleBasedStateMachine):
    """Submits, lists, reads and cancels under faults."""

    def __init__(self) -> None:
        super().__init__()
        self._platform = MemoryPlatform()
        self._hosts = {
            name: build.desk_host(self._platform, name) for name in HOSTS
        }
        self._known: dict[str, KnownJob] = {}

    @rule(host=hosts, job_id=jobs)
    def submit(self, host: str, job_id: str) -> None:
        """Submit a job, which may be accepted already."""
        route = build.route()
        items = build.job(items=ITEMS).items
        try:
            self._hosts[host].desk.submit(job_id, route, route.host, items)
        except GuavadykeError as error:
            if error.code == 'platform_unavailable':
                return
            assert error.code == 'outcome_unknown'
            return
        self._known.setdefault(job_id, KnownJob())

    @rule(host=hosts, job_id=jobs, numbers=chosen_items, size=st.integers(0, 2))
    def list_results(
        self,
        host: str,
        job_id: str,
        numbers: set[int],
        size: int,
    ) -> None:
        """List results, each host with a text of its own."""
        if job_id not in self._known:
            return
        waiting = tuple(
            ForwardItemResult(
                f'item-{number}',
                completed=True,
                text=host * (1 + size * 4000),
            )
            for number in sorted(numbers)
        )
        try:
            self._hosts[host].store.append(job_id, waiting)
        except GuavadykeError:
            return

    @rule(host=hosts, job_id=jobs)
    def cancel(self, host: str, job_id: str) -> None:
        """Cancel a job."""
        try:
            self._hosts[host].desk.cancel(job_id)
        except GuavadykeError as error:
            assert job_id not in self._known or error.code != 'not_found'
            return
        self._known.setdefault(job_id, KnownJob()).cancelled = True

    @rule(host=hosts, job_id=jobs, after=st.integers(0, ITEMS))
    def read(self, host: str, job_id: str, after: int) -> None:
        """Read results; what was read before has to be there again."""
        known = self._known.get(job_id)
        try:
            answer = self._hosts[host].desk.results(job_id, after)
        except GuavadykeError as error:
            assert known is None or error.code != 'not_found'
            return
        if known is None:
            return
        assert answer.total == ITEMS
        before = known.read[after:]
        assert list(answer.listings[: len(before)]) == before
        if after <= len(known.read):
            known.read = [*known.read[:after], *answer.listings]
        listed = [one.item_id for one in known.read]
        assert len(set(listed)) == len(listed)

    @rule(host=hosts, every=st.integers(0, 3))
    def lose_answers(self, host: str, every: int) -> None:
        """Lose answers to writes that took effect."""
        self._hosts[host].link.faults.lose_answer_every = every

    @rule(host=hosts, every=st.integers(0, 2))
    def delay_writes(self, host: str, every: int) -> None:
        """Let writes take effect after their callers gave up."""
        self._hosts[host].link.faults.delay_write_every = every

    @rule()
    def apply_late_writes(self) -> None:
        """Let writes take effect that were given up."""
        self._platform.apply_late_writes()

    @rule(host=hosts, cut=st.booleans())
    def cut(self, host: str, *, cut: bool) -> None:
        """Cut a host off from the platform, or end the cut."""
        self._hosts[host].link.faults.cut = cut

    @rule(host=hosts)
    def restart(self, host: str) -> None:
        """Start a host anew: it has forgotten everything."""
        self._hosts[host] = build.desk_host(self._platform, host)

    @rule(host=hosts)
    def catch_up(self, host: str) -> None:
        """Let a host's mirror bring what the platform holds."""
        if not self._hosts[host].link.faults.cut:
            self._hosts[host].catch_up()

    @invariant()
    def cancelled_jobs_stay_so(self) -> None:
        """A host that starts now sees each cancellation."""
        fresh = build.desk_host(self._platform, 'fresh')
        fresh.catch_up()
        for job_id, known in self._known.items():
            view = fresh.board.view(job_id)
            assert view is not None
            assert not known.cancelled or view.progress.cancelled
