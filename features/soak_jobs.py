"""Callers of a soak that submit, cancel and read jobs."""

from __future__ import annotations

import base64
import functools
import itertools
import json
import math
import random
import threading
import time
from collections.abc import Callable, Mapping

import urllib3

from features import builders_users_platform as users
from features.soak_bounds import ITEM_PREFIX, owed_at, undone
from features.soak_fleet import SoakFleet, prompt_prefix
from features.soak_history import (
    ListedItem,
    Listing,
    SoakItem,
    SoakJob,
)
from features.soak_schedule import JobPlan, Schedule

_READERS = 12
_READ_PAUSE_S = 0.05
# Each job is read at a share of the hosts for so long, then at others.
_ASKED_S = 3.0
_ASKED_SHARE = 1 / 3
_FINAL_PAUSE_S = 0.5
_ACCEPTED = 202
_OK = 200
_UNKNOWN = frozenset((404, 410))
_MOST_ATTEMPTS = 4
_RETRY_S = 0.3
_TOKENS = 10
# Results are read for so long after the last item was owed.
_READ_ON_S = 1.0


class JobCallers:
    """Submits the jobs of a schedule, cancels some, and reads their results.

    Args:
        fleet: the hosts; its history gets the jobs and what is listed.
        schedule: has the jobs.
        ending: set when the callers have to end.
    """

    def __init__(
        self, fleet: SoakFleet, schedule: Schedule, ending: threading.Event
    ) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._ending = ending
        self._numbers = itertools.count()
        self._reads = itertools.count()

    @property
    def work(self) -> list[Callable[[], None]]:
        """What each caller does until the end."""
        return [
            *(
                functools.partial(self._read_until_end, reader)
                for reader in range(_READERS)
            ),
            *(
                functools.partial(self._play, plan)
                for plan in self._schedule.jobs
            ),
        ]

    def submit(
        self, host: int, parts: tuple[str, ...], first_body: str = ''
    ) -> SoakJob | None:
        """Submit a job, again at other hosts if it gets no answer.

        Args:
            host: number of the first host.
            parts: the part of each item's prompt.
            first_body: body of the first item; empty for one like the others.

        Returns:
            The job; None if it was not accepted or nobody knows.
        """
        job_id = f'job-of-{next(self._numbers)}'
        items = [
            SoakItem(
                f'{job_id}.{number}',
                (part, f'{ITEM_PREFIX}{job_id}.{number}'),
            )
            for number, part in enumerate(parts)
        ]
        if first_body:
            items[0] = SoakItem(items[0].item_id, (parts[0], first_body))
        for attempt in range(_MOST_ATTEMPTS):
            at_host = (host + attempt) % self._schedule.hosts
            if self._submit(at_host, job_id, items):
                job = SoakJob(job_id, tuple(items), self._fleet.now_s())
                self._fleet.history.jobs.append(job)
                return job
            time.sleep(_RETRY_S)
        return None

    def read_all(self) -> None:
        """Read results until all items are done or owed, then once more."""
        history = self._fleet.history
        while left := undone(history):
            until_s = max(owed_at(history, *one) for one in left) + _READ_ON_S
            history.read_until_s = self._fleet.now_s()
            if history.read_until_s > until_s:
                break
            job_ids = sorted({job.job_id for job, _item in left})
            for job_id in job_ids:
                self._read(job_id, next(self._reads) % self._schedule.hosts)
            time.sleep(_FINAL_PAUSE_S)
        for finished in history.jobs:
            for host in range(self._schedule.hosts):
                self._read(finished.job_id, host, final=True)

    def _play(self, plan: JobPlan) -> None:
        self._ending.wait(max(0, plan.at_s - self._fleet.now_s()))
        job = self.submit(plan.host, plan.parts)
        if job is None or not plan.cancel_after_s:
            return
        time.sleep(plan.cancel_after_s)
        job.end_asked = True
        for attempt in range(_MOST_ATTEMPTS):
            at_host = (plan.host + attempt) % self._schedule.hosts
            status, _body = self._call(
                at_host, 'DELETE', f'/api/lots/{job.job_id}'
            )
            if _OK <= status <= _ACCEPTED + 2:
                job.ended_s = self._fleet.now_s()
                return
            time.sleep(_RETRY_S)

    def _submit(self, host: int, job_id: str, items: list[SoakItem]) -> bool:
        document = {'Items': [_document(entry) for entry in items]}
        status, _body = self._call(
            host,
            'POST',
            f'{users.JOB_PREFIX}1',
            json.dumps(document).encode(),
            {'Request-Id': job_id},
        )
        return status == _ACCEPTED

    def _read_until_end(self, reader: int) -> None:
        rng = random.Random(f'{self._schedule.seed} reads {reader}')
        while not self._ending.wait(_READ_PAUSE_S):
            jobs = tuple(self._fleet.history.jobs)
            if jobs:
                # Long jobs are read more often.
                weights = [len(job.items) for job in jobs]
                job = rng.choices(jobs, weights)[0]
                self._read(job.job_id, rng.choice(self._asked(job.job_id)))

    def _asked(self, job_id: str) -> list[int]:
        """Return the few hosts that callers ask for a job now.

        Another host may take the job over though it has read it long ago.
        """
        turn = int(self._fleet.now_s() / _ASKED_S)
        rng = random.Random(f'{self._schedule.seed} {job_id} {turn}')
        hosts = self._schedule.hosts
        return rng.sample(range(hosts), math.ceil(hosts * _ASKED_SHARE))

    def _read(self, job_id: str, host: int, *, final: bool = False) -> None:
        sent_s = self._fleet.now_s()
        status, body = self._call(host, 'GET', f'/api/lots/{job_id}?After=0')
        unknown = status in _UNKNOWN
        if status == _OK:
            listed = tuple(
                ListedItem(one['Id'], one['State'], one['Text'])
                for one in json.loads(body)['Results']
            )
        elif final or unknown:
            listed = ()
        else:
            return
        self._fleet.history.listings.append(
            Listing(
                job_id,
                host,
                self._fleet.now_s(),
                listed,
                final,
                sent_s,
                unknown,
            )
        )

    def _call(
        self,
        host: int,
        method: str,
        target: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, bytes]:
        daemon = self._fleet.daemons[host]
        try:
            answer = daemon.call(method, target, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return answer.status, answer.data


def _document(entry: SoakItem) -> dict[str, object]:
    part, body = entry.names
    return {
        'Id': entry.item_id,
        'Path': f'{users.JOB_PREFIX}{ITEM_PREFIX}{entry.item_id}',
        'Headers': {'Model': 'm', 'Prompt-Prefix': prompt_prefix(part)},
        'Body': base64.b64encode(body.encode()).decode(),
        'Tokens': _TOKENS,
    }
