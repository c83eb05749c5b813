"""The order of jobs on this host, and when each is expected to end."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.batch_chunks import ChunkTable
from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.decisions.job_forecast import (
    Forecast,
    Prospect,
    Throughput,
    forecast,
)
from guavadyke.decisions.job_order import JobPriority, ordered
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


class JobForecaster:
    """Orders jobs and judges them by what this host has measured.

    Args:
        clock: the host's clock.
        catalogue: holds the policy.
        held_chunks: chunks of this host, and its measured runs.
    """

    def __init__(
        self,
        clock: Clock,
        catalogue: SnapshotCell[CatalogueSnapshot],
        held_chunks: HeldChunkRegistry,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._held_chunks = held_chunks
        self._forecasts: SnapshotCell[Mapping[str, Forecast]] = SnapshotCell(
            types.MappingProxyType({}),
        )

    def of(self, job_id: str) -> Forecast | None:
        """Return when a job is expected to end, if that is known."""
        return self._forecasts.current.get(job_id)

    def throughput(self, entry_name: str) -> Throughput | None:
        """Return what this host has measured of an entry."""
        return self._held_chunks.runs.throughput(entry_name)

    def order(self, jobs: Iterable[StoredJob]) -> list[StoredJob]:
        """Return the jobs in the order in which chunks are taken."""
        by_id = {job.record.job_id: job for job in jobs}
        demands = ordered(self._demand(job) for job in by_id.values())
        return [by_id[demand.job_id] for demand in demands]

    def judge(self, tables: Iterable[ChunkTable]) -> None:
        """Judge anew when the jobs, given in their order, end."""
        known = tuple(tables)
        holders = frozenset().union(*(table.holders() for table in known))
        entries = {table.job.entry_name for table in known}
        measured = {name: self.throughput(name) for name in entries}
        rates = {
            name: throughput.items_per_s * max(1, len(holders))
            for name, throughput in measured.items()
            if throughput is not None
        }
        self._forecasts.publish(
            forecast(
                [table.load() for table in known],
                rates,
                self._clock.wall(),
                self._catalogue.current.policy.tail_weight,
            ),
        )

    def _demand(self, job: StoredJob) -> JobPriority:
        record = job.record
        foreseen = self.of(record.job_id)
        return JobPriority(
            record.job_id,
            record.owner,
            record.due,
            record.created,
            owner_items=self._items_of(record.owner),
            at_risk=foreseen is not None
            and foreseen.prospect is Prospect.at_risk,
            cancelled=record.cancelled_at is not None,
        )

    def _items_of(self, owner: str) -> int:
        """Return how many items of an owner this host has in hand."""
        return sum(
            held.run.backlog + held.run.in_flight
            for held in self._held_chunks.chunks
            if held.job.owner == owner
        )
