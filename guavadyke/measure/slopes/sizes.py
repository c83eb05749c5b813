"""The size that the design is meant to hold at, and its budgets."""

from __future__ import annotations

import dataclasses

_DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class FleetSize:
    """A fleet at its peak; what is a day's is spread over the day."""

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
        """Objects of the catalogue."""
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
        """Batch items a second over the day."""
        return self.items_per_day / _DAY_S

    @property
    def jobs_per_s(self) -> float:
        """Batch jobs a second over the day."""
        return self.jobs_per_day / _DAY_S

    @property
    def edits_per_s(self) -> float:
        """Edits of the catalogue a second over the day."""
        return self.edits_per_day / _DAY_S


@dataclasses.dataclass(frozen=True)
class Budget:
    """What control may cost one host, and the fleet at the platform."""

    processor_percent: float = 2
    memory_mb: float = 32
    sent_kb_per_s: float = 14
    writes_per_s: float = 300
    reads_per_s: float = 2000
