"""The planned size of the fleet, and the budgets at that size."""

from __future__ import annotations

import dataclasses

_DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class FleetSize:
    """The planned fleet.

    Rates per second are peaks; counts per day are averaged over the day.
    """

    hosts: int = 390
    engines: int = 2700
    zones: int = 6
    models: int = 11
    owners: int = 4200
    requests_per_s: float = 7400
    tokens_per_s: float = 1_600_000
    items_per_day: float = 36_000_000
    jobs_per_day: float = 85_000
    edits_per_day: float = 2200
    failures_per_day: float = 17
    restarts_per_day: float = 190

    @property
    def objects(self) -> int:
        """Objects of the catalogue, including the policy."""
        return self.engines + self.owners + self.models + 1

    @property
    def zone_hosts(self) -> float:
        """Entry hosts of one availability zone."""
        return self.hosts / self.zones

    @property
    def zone_engines(self) -> float:
        """Engines of one availability zone."""
        return self.engines / self.zones

    @property
    def items_per_s(self) -> float:
        """Batch items per second, averaged over the day."""
        return self.items_per_day / _DAY_S

    @property
    def jobs_per_s(self) -> float:
        """Batch jobs per second, averaged over the day."""
        return self.jobs_per_day / _DAY_S

    @property
    def edits_per_s(self) -> float:
        """Catalogue edits per second, averaged over the day."""
        return self.edits_per_day / _DAY_S


@dataclasses.dataclass(frozen=True)
class Budget:
    """Allowed cost of control, per host, and of platform calls, per fleet."""

    cpu_percent: float = 2
    memory_mb: float = 32
    sent_kb_per_s: float = 14
    writes_per_s: float = 300
    reads_per_s: float = 2000
