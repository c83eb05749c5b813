"""Orders the open jobs and forecasts when each of them ends."""

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
from guavadyke.decisions.job_order import JobPriority, order_jobs
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


class JobForecaster:
    """Orders jobs and forecasts their ends from this host's throughput.

    Args:
        clock: the host's clock.
        catalogue: holds the policy for jobs at risk.
        held_chunks: chunks of this host and its measured item runs.
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

    def forecast_for(self, job_id: str) -> Forecast | None:
        """Return the forecast of a job, or None while there is none."""
        return self._forecasts.current.get(job_id)

    def throughput(self, entry_name: str) -> Throughput | None:
        """Return this host's throughput for an entry, None if not measured."""
        return self._held_chunks.run_tracker.throughput(entry_name)

    def order(self, jobs: Iterable[StoredJob]) -> list[StoredJob]:
        """Return the jobs in the order in which chunks are claimed."""
        by_id = {job.record.job_id: job for job in jobs}
        demands = order_jobs(self._demand(job) for job in by_id.values())
        return [by_id[demand.job_id] for demand in demands]

    def update_forecasts(self, tables: Iterable[ChunkTable]) -> None:
        """Forecast the end of each job.

        The rate of an entry is this host's throughput times the number of
        leases that hold chunks of any of the jobs.

        Args:
            tables: chunks of the open jobs, in the order of the jobs.
        """
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
        known_forecast = self.forecast_for(record.job_id)
        return JobPriority(
            record.job_id,
            record.owner,
            record.due,
            record.created,
            owner_items=self._held_items(record.owner),
            at_risk=known_forecast is not None
            and known_forecast.prospect is Prospect.at_risk,
            cancelled=record.cancelled_at is not None,
        )

    def _held_items(self, owner: str) -> int:
        """Return how many items of an owner run or wait on this host."""
        return sum(
            held.run.backlog + held.run.in_flight
            for held in self._held_chunks.chunks
            if held.job.owner == owner
        )
