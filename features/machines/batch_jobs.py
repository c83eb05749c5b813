"""Batch jobs on hosts that pause, die, lose answers and are cut off.

The oracle is a dict of the accepted items and of the outcomes that were
read of them.
"""

from __future__ import annotations

import dataclasses
import json
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features import builders_batch
from features.machines.batch_fleet import (
    HOSTS,
    LEASE_S,
    MAX_ATTEMPTS,
    SimulatedFleet,
)
from guavadyke.adapters.ports import ItemEnd

STEP_S = 1.0
LONGEST_STEPS = 600
KEYS = ('key-0', 'key-1', 'key-2', 'key-3')
PARTS = ('cut', 'cut_writes', 'cut_watches', 'stale_watches')
ENDED = frozenset(('completed', 'cancelled'))

names = st.sampled_from(HOSTS)
keys = st.sampled_from(KEYS)


@dataclasses.dataclass
class AcceptedJob:
    """What the oracle knows of a job."""

    job_id: str
    items: tuple[str, ...]
    once: frozenset[str]
    cancelled_at: float | None = None
    final_state: str = ''
    outcomes: dict[str, str] = dataclasses.field(default_factory=dict)

    def compare(self, lines: list[dict[str, object]]) -> None:
        """Compare results with those that were read before."""
        read = [str(line['custom_id']) for line in lines]
        assert read == [item for item in self.items if item in set(read)]
        for line in lines:
            custom_id = str(line['custom_id'])
            told = json.dumps([line['outcome'], line['response']])
            assert self.outcomes.setdefault(custom_id, told) == told
            if line['outcome'] == 'completed':
                assert line['response'] == {'echo': custom_id}

    def failed(self) -> frozenset[str]:
        """Return the items that were read as failed."""
        return frozenset(
            custom_id
            for custom_id, told in self.outcomes.items()
            if json.loads(told)[0] == 'failed'
        )


class BatchMachine(RuleBasedStateMachine):
    """Rules are what may happen; teardown heals all and compares."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet()
        self.jobs: dict[str, AcceptedJob] = {}
        self.sent: dict[str, bytes] = {}

    @rule(
        key=keys,
        name=names,
        count=st.integers(1, 12),
        once=st.integers(0, 3),
        poison=st.booleans(),
    )
    def submit(
        self,
        key: str,
        name: str,
        count: int,
        once: int,
        *,
        poison: bool,
    ) -> None:
        """Submit, or resend what was sent under the same key."""
        if key not in self.sent:
            lines = [
                builders_batch.item_line(
                    f'{key}/{index}',
                    idempotent=index >= once,
                )
                for index in range(count)
            ]
            self.sent[key] = b'\n'.join(lines)
            if poison:
                self.fleet.poison.add(f'{key}/{count - 1}')
        if not self.fleet.hosts[name].paused:
            self._send(key, name)

    @rule(name=names, steps=st.integers(1, 12))
    def work(self, name: str, steps: int) -> None:
        """Let a host work."""
        self.fleet.work(name, steps)

    @rule(
        name=names,
        end=st.sampled_from(
            (ItemEnd.completed, ItemEnd.preempted, ItemEnd.not_run),
        ),
        count=st.integers(1, 8),
    )
    def items_end(self, name: str, end: ItemEnd, count: int) -> None:
        """Let running items of a host end."""
        self.fleet.end_items(name, end, count)

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 16.0)))
    def time_passes(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.clock.now += seconds

    @rule(name=names, paused=st.booleans())
    def pause(self, name: str, *, paused: bool) -> None:
        """Pause a host or wake it."""
        self.fleet.hosts[name].paused = paused

    @rule(name=names)
    def die(self, name: str) -> None:
        """Replace a host by a new one under the same name."""
        self.fleet.replace(name)

    @rule(
        name=names,
        fault=st.sampled_from(PARTS),
        cut=st.booleans(),
    )
    def cut_off(self, name: str, fault: str, *, cut: bool) -> None:
        """Cut a host off from the platform in part or whole, or heal it."""
        setattr(self.fleet.hosts[name].faults, fault, cut)

    @rule(name=names, calls=st.integers(0, 8))
    def cut_off_soon(self, name: str, calls: int) -> None:
        """Cut a host off in the middle of what it does next."""
        self.fleet.hosts[name].faults.cut_after = calls

    @rule(name=names, every=st.integers(0, 3))
    def lose_answers(self, name: str, every: int) -> None:
        """Let answers to a host's writes be lost after their effect."""
        self.fleet.hosts[name].faults.lose_answer_every = every

    @rule(key=keys, name=names)
    def cancel(self, key: str, name: str) -> None:
        """Cancel a job."""
        job = self.jobs.get(key)
        if job is None or self.fleet.hosts[name].paused:
            return
        path = f'/v1/batches/{job.job_id}/cancel'
        status, document = self.fleet.call(name, 'POST', path)
        cancelled = status == 200 and document['cancelled_at']
        if cancelled and job.cancelled_at is None:
            job.cancelled_at = self.fleet.clock.now

    @rule(key=keys, name=names)
    def read(self, key: str, name: str) -> None:
        """Read a job's state and results and compare with earlier reads."""
        job = self.jobs.get(key)
        if job is not None and not self.fleet.hosts[name].paused:
            self._read(job, name)

    @invariant()
    def promises_hold(self) -> None:
        """Check what must hold at any moment."""
        once = {item for job in self.jobs.values() for item in job.once}
        ran = Counter(start.custom_id for start in self.fleet.starts)
        repeated = {item for item in once if ran[item] > 1}
        assert not repeated, repeated
        bounds = {
            job.job_id: job.cancelled_at + LEASE_S
            for job in self.jobs.values()
            if job.cancelled_at is not None
        }
        late = [
            start
            for start in self.fleet.starts
            if start.at > bounds.get(start.job_id, start.at)
        ]
        assert not late, late

    def teardown(self) -> None:
        """Heal everything, let all jobs end and compare each item."""
        self.fleet.heal()
        steps = 0
        while not all(job.final_state for job in self.jobs.values()):
            steps += 1
            assert steps < LONGEST_STEPS, self.jobs
            self.fleet.work_all(STEP_S)
            for job in self.jobs.values():
                self._read(job, HOSTS[0])
        self.promises_hold()
        ran = Counter(start.custom_id for start in self.fleet.starts)
        for ended in self.jobs.values():
            assert set(ended.outcomes) == set(ended.items), ended
            failed = ended.failed()
            assert failed <= self.fleet.poison, failed
            assert all(ran[item] >= MAX_ATTEMPTS for item in failed), failed

    def _send(self, key: str, name: str) -> None:
        status, document = self.fleet.call(
            name,
            'POST',
            f'/v1/batches?entry={builders_batch.ENTRY}',
            self.sent[key],
            key,
        )
        if status != 201:
            error = document['error']
            assert isinstance(error, dict)
            told = (status, error['run'])
            assert told in {
                (409, 'not_run'),
                (502, 'unknown'),
                (503, 'not_run'),
            }, error
            return
        lines = builders_batch.read_lines(self.sent[key])
        accepted = AcceptedJob(
            str(document['id']),
            tuple(str(one['custom_id']) for one in lines),
            frozenset(
                str(one['custom_id']) for one in lines if not one['idempotent']
            ),
        )
        known = self.jobs.setdefault(key, accepted)
        assert known.job_id == accepted.job_id

    def _read(self, job: AcceptedJob, name: str) -> None:
        path = f'/v1/batches/{job.job_id}'
        status, document = self.fleet.call(name, 'GET', path)
        if status != 200:
            assert status == 503, document
            return
        state = str(document['state'])
        assert state == (job.final_state or state)
        if state in ENDED:
            job.final_state = state
        host = self.fleet.hosts[name].host
        status, body = host.call('GET', f'{path}/results')
        if status == 200:
            job.compare(builders_batch.read_lines(body))
