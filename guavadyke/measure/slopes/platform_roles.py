"""What the fleet costs the platform at the planned size."""

from __future__ import annotations

from guavadyke.controllers.batch_job_selection import (
    FLEET_CHUNK_LISTS_PER_S,
    FLEET_JOB_POLLS_PER_S,
)
from guavadyke.measure.slopes.lines import Lines
from guavadyke.measure.slopes.rows import Role, Row, at_most, scaled, total
from guavadyke.measure.slopes.sizes import Budget, FleetSize
from guavadyke.settings import BatchSettings

_RENEWALS_SPREAD = 0.95
_OPEN_JOB_S = 3600
_RETENTION_DAYS = 7
_TB = 1e-12
_ZONE_RETURN_S = 60
_RESTARTS_AT_ONCE = 10
_READS = 'reads/s'
_WRITES = 'writes/s'


class PlatformRoles:
    """Costs of the roles that call the platform.

    Args:
        lines: the measured lines.
        size: the planned size.
        budget: what the platform may be asked.
    """

    def __init__(self, lines: Lines, size: FleetSize, budget: Budget) -> None:
        self._lines = lines
        self._size = size
        self._budget = budget

    def chunk_holder(self) -> Role:
        """Return the calls and bytes of a job of the usual size."""
        items = self._size.items_per_day / self._size.jobs_per_day
        return Role(
            'Chunk holder',
            'Chunks of up to 500 items, taken and committed by conditional '
            'updates; one lease for each host while it holds chunks.',
            (
                self._job_row('writes of a job of 424 items', 'batch.writes'),
                self._job_row('reads of its holder', 'batch.reads'),
                Row(
                    'writes of one more item',
                    self._lines.slope('batch.writes'),
                    'calls',
                    'slope of batch.writes',
                ),
                Row(
                    'stored bytes of a job that ended',
                    self._lines.at('batch.stored', items),
                    'B',
                    'batch.stored at 424 items',
                ),
            ),
        )

    def operator_port(self) -> Role:
        """Return the calls of an edit."""
        return Role(
            'Operator port',
            'An edit is one conditional update that carries its audit record.',
            (
                Row(
                    'writes of one edit',
                    self._lines.slope('catalogue.edit_writes'),
                    'calls',
                    'slope of catalogue.edit_writes',
                ),
            ),
        )

    def ordinary_day(self) -> Role:
        """Return the calls of the whole fleet on an ordinary day."""
        writes = self._writes()
        reads = self._reads()
        return Role(
            'Platform, ordinary day',
            'Conditional updates, lists and waiting watches.',
            (
                *writes,
                Row(
                    'writes of the fleet',
                    total(writes),
                    _WRITES,
                    'sum of the above',
                    self._budget.writes_per_s,
                ),
                *reads,
                Row(
                    'reads of the fleet',
                    total(reads),
                    _READS,
                    'sum of the above',
                    self._budget.reads_per_s,
                ),
                Row(
                    'stored bytes of ended jobs',
                    scaled(
                        self._lines.slope('batch.stored'),
                        self._size.items_per_day * _RETENTION_DAYS * _TB,
                    ),
                    'TB',
                    'slope of batch.stored, 7 days of 36 million items',
                ),
            ),
        )

    def worst_day(self) -> Role:
        """Return the calls while a zone comes back amid restarts."""
        start_reads = self._lines.at(
            'catalogue.start_reads',
            self._size.objects,
        )
        returning = self._size.zone_hosts / _ZONE_RETURN_S
        restarting = _RESTARTS_AT_ONCE / _ZONE_RETURN_S
        extra = (
            Row(
                'a zone that comes back',
                scaled(start_reads, returning),
                _READS,
                'catalogue.start_reads, 65 hosts within 60 s',
            ),
            Row(
                'restarts meanwhile',
                scaled(start_reads, restarting),
                _READS,
                'catalogue.start_reads, 10 hosts within 60 s',
            ),
        )
        reads = (*self._reads(), *extra)
        return Role(
            'Platform, worst minute of the worst day',
            'New hosts spread their lists; their catalogue comes from the '
            'platform in pages of 100 objects.',
            (
                *extra,
                Row(
                    'reads of the fleet then',
                    total(reads),
                    _READS,
                    'with those of an ordinary day',
                    self._budget.reads_per_s,
                ),
            ),
        )

    def _job_row(self, what: str, name: str) -> Row:
        items = self._size.items_per_day / self._size.jobs_per_day
        return Row(
            what,
            self._lines.at(name, items),
            'calls',
            f'{name} at 424 items',
        )

    def _writes(self) -> tuple[Row, ...]:
        size, lines = self._size, self._lines
        items = size.items_per_day / size.jobs_per_day
        renewal_s = BatchSettings().lease_renewal_s * _RENEWALS_SPREAD
        return (
            Row(
                'jobs',
                scaled(lines.at('batch.writes', items), size.jobs_per_s),
                _WRITES,
                'batch.writes at 424 items, 0.98 jobs a second',
            ),
            Row(
                'leases, when every host holds chunks',
                size.hosts / renewal_s,
                _WRITES,
                'settings: one renewal each 4.75 s and host',
            ),
            Row(
                'edits',
                scaled(
                    lines.slope('catalogue.edit_writes'),
                    size.edits_per_s,
                ),
                _WRITES,
                'slope of catalogue.edit_writes, 0.025 a second',
            ),
            Row(
                'hosts without work',
                scaled(lines.slope('platform.idle_writes'), size.hosts),
                _WRITES,
                'slope of platform.idle_writes, 390 hosts',
            ),
        )

    def _reads(self) -> tuple[Row, ...]:
        size, lines = self._size, self._lines
        open_jobs = size.jobs_per_s * _OPEN_JOB_S
        return (
            Row(
                'hosts without work',
                scaled(lines.slope('platform.idle_reads'), size.hosts),
                _READS,
                'slope of platform.idle_reads, 390 hosts',
            ),
            Row(
                'jobs, over all hosts that watch them',
                at_most(
                    scaled(
                        lines.at('batch.fleet_reads', size.hosts),
                        size.jobs_per_s,
                    ),
                    FLEET_JOB_POLLS_PER_S,
                ),
                _READS,
                'batch.fleet_reads at 390 hosts, 0.98 jobs a second; at most '
                'the follows that the hosts allow each other',
            ),
            Row(
                'looks at the chunks of open jobs',
                at_most(
                    scaled(
                        lines.slope('platform.open_job_reads'),
                        open_jobs * size.hosts,
                    ),
                    FLEET_CHUNK_LISTS_PER_S,
                ),
                _READS,
                'slope of platform.open_job_reads, 3,542 jobs open (one hour '
                'each) on 390 hosts; at most the lists that the hosts allow '
                'each other',
            ),
            Row(
                'edits that wake every watch',
                size.edits_per_s * size.hosts,
                _READS,
                '0.025 a second, one watch on 390 hosts',
            ),
        )
