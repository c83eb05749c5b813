"""Simulated batch hosts, whose steps the test drives one by one."""

from __future__ import annotations

import contextlib
import dataclasses
import json

from features import builders_batch
from features.builders_batch_platform import LinkFaults, MemoryPlatform
from guavadyke.adapters.ports import ItemEnd, ItemResult
from guavadyke.controllers.batch_held_chunks import Task
from guavadyke.controllers.batch_records import LEASE_KIND
from guavadyke.decisions.chunk_run import RunItem
from guavadyke.errors import GuavadykeError

HOSTS = ('entry-1', 'entry-2', 'entry-3')
LEASE_S = 15.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class ItemStart:
    """The start of an item's run, at ``at`` seconds of the fake clock."""

    job_id: str
    custom_id: str
    at: float


@dataclasses.dataclass
class SimulatedHost:
    """A host driven by the test; ``running`` are the items in flight."""

    host: builders_batch.BatchHost
    paused: bool = False
    running: list[Task] = dataclasses.field(default_factory=list)

    @property
    def faults(self) -> LinkFaults:
        """Faults of the host's link."""
        return self.host.link.faults


class SimulatedFleet:
    """Hosts that share one platform and one fake clock.

    Runs of ``poisoned_items`` always break off.
    """

    def __init__(self) -> None:
        self.clock = builders_batch.FakeClock()
        self.platform = MemoryPlatform()
        self.starts: list[ItemStart] = []
        self.poisoned_items: set[str] = set()
        self.hosts: dict[str, SimulatedHost] = {}
        for name in HOSTS:
            self.replace(name)

    def replace(self, name: str, data_folder: str | None = None) -> None:
        """Replace a host that died by a new one of the same name."""
        link = builders_batch.MemoryStore(
            self.platform,
            LinkFaults(waits=False),
        )
        plan = builders_batch.HostPlan(
            name,
            clock=self.clock,
            slots=4,
            fleet=builders_batch.peers(*HOSTS),
            batch={
                'lease_s': LEASE_S,
                'lease_renewal_s': 5,
                'lease_margin_s': 3,
                'poll_interval_s': 2,
                'chunk_items': 5,
                'max_attempts': MAX_ATTEMPTS,
            },
            data_folder=data_folder,
        )
        host = builders_batch.host_with_link(link, plan)
        self.hosts[name] = SimulatedHost(host)

    def heal(self) -> None:
        """Resume every host and clear the faults of its link."""
        for simulated in self.hosts.values():
            simulated.paused = False
            simulated.faults.clear_faults()

    def call(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes = b'',
        key: str = '',
    ) -> tuple[int, dict[str, object]]:
        """Send one request; return its status and JSON document."""
        status, answer = self.hosts[name].host.call(
            method,
            path,
            body,
            {'Idempotency-Key': key} if key else {},
        )
        return status, json.loads(answer)

    def work(self, name: str, steps: int) -> None:
        """Run each loop of a host once, then at most ``steps`` tasks."""
        simulated = self.hosts[name]
        if simulated.paused:
            return
        service = simulated.host.service
        with contextlib.suppress(GuavadykeError):
            service._index.poll(0)
        with contextlib.suppress(GuavadykeError):
            if service._held_chunks.chunks:
                service._lease.renew()
        with contextlib.suppress(GuavadykeError):
            service._job_scanner.scan()
        with contextlib.suppress(GuavadykeError):
            service._cleaner.run_once()
        while steps and self._run_next_task(simulated):
            steps -= 1

    def work_all(self, seconds: float) -> None:
        """Advance the clock, run all hosts and complete their items."""
        self.clock.now += seconds
        for name in HOSTS:
            self.work(name, 12)
            self.end_items(name, ItemEnd.completed, 12)

    def end_items(self, name: str, end: ItemEnd, count: int) -> None:
        """End the oldest ``count`` running items of a host."""
        simulated = self.hosts[name]
        if simulated.paused:
            return
        ending = simulated.running[:count]
        simulated.running = simulated.running[count:]
        for task in ending:
            self._end_item(simulated, task, end)

    def _end_item(
        self,
        simulated: SimulatedHost,
        task: Task,
        end: ItemEnd,
    ) -> None:
        assert isinstance(task.step, RunItem)
        open_item = task.step.open_item
        custom_id = task.held.items[open_item.index].custom_id
        ended = ItemResult(end, {'echo': custom_id}, partial='p')
        if custom_id in self.poisoned_items:
            ended = ItemResult(ItemEnd.retry, reason='broke off')
        elif end is ItemEnd.not_run and not open_item.idempotent:
            # The test counts starts and expects at most one, so a start that
            # turned out not to have run would look like a repeated run.
            ended = ItemResult(ItemEnd.completed, {'echo': custom_id})
        simulated.host.runner.running -= 1
        simulated.host.service._held_chunks.item_ended(
            task.held,
            open_item.index,
            ended,
        )

    def _run_next_task(self, simulated: SimulatedHost) -> bool:
        service = simulated.host.service
        task = service._held_chunks.next_task()
        if task is None:
            return False
        if not isinstance(task.step, RunItem):
            service._step_executor.execute_task(task)
            return True
        leases = {stored.name for stored in self.platform.of_kind(LEASE_KIND)}
        assert task.held.holder in leases, (
            'an item started without a valid lease'
        )
        item = task.held.items[task.step.open_item.index]
        simulated.running.append(task)
        simulated.host.runner.running += 1
        self.starts.append(
            ItemStart(task.held.job.job_id, item.custom_id, self.clock.now),
        )
        return True
