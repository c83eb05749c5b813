"""Predicted cost of the roles of an entry host at the planned size."""

from __future__ import annotations

import itertools

from guavadyke.measure.slopes.capacity_rows import Role, Row, multiplied, total
from guavadyke.measure.slopes.fitted_lines import FittedLines
from guavadyke.measure.slopes.planned_size import Budget, FleetSize
from guavadyke.settings import OnlineSettings

_PERCENT_PER_US = 1e-4
_MB_PER_B = 1e-6
_KB_PER_B = 1e-3
_ASSIGNMENT_ROUNDS_PER_S = 1
_FLEET_REFRESHES_PER_S = 2
_PREEMPTION_CHECKS_PER_S = 8
_PREEMPTION_CHECKS_PER_REQUEST = 2
_PERCENT_OF_CORE = '% of a core'
_POLLS_PER_S = OnlineSettings().load_polls_per_s


class HostRoles:
    """Costs of the roles that every entry host has.

    Args:
        lines: the measured lines.
        size: the planned size.
        budget: the allowed cost of control.
    """

    def __init__(
        self, lines: FittedLines, size: FleetSize, budget: Budget
    ) -> None:
        self._lines = lines
        self._size = size
        self._budget = budget

    def entry_host(self) -> Role:
        """Return the control costs of one entry host."""
        cpu_rows = self._cpu_rows()
        memory_rows = self._memory_rows()
        sent_kb = multiplied(self._at_peers('membership.sent'), _KB_PER_B)
        return Role(
            'Entry host',
            'Membership by probes of one random peer each 0.5 s with rumours '
            'on the datagrams; immutable snapshots that request threads read; '
            'prefix affinity with bounded loads over the engines of the zone.',
            (
                *cpu_rows,
                Row(
                    'processor time for control',
                    total(cpu_rows),
                    _PERCENT_OF_CORE,
                    'sum of the above',
                    self._budget.cpu_percent,
                ),
                *memory_rows,
                Row(
                    'memory for control',
                    total(memory_rows),
                    'MB',
                    'sum of the above',
                    self._budget.memory_mb,
                ),
                Row(
                    'membership sent',
                    sent_kb,
                    'KB/s',
                    'membership.sent at 389 peers',
                    self._budget.sent_kb_per_s,
                ),
                Row(
                    'time between two looks at the load of an idle engine',
                    self._size.zone_engines / _POLLS_PER_S,
                    's',
                    '450 engines of the zone, 10 polls a second',
                ),
                Row(
                    'choice of an engine, per request',
                    self._lines.at('routing.choose', self._size.engines),
                    'us',
                    'routing.choose at 2,700 engines',
                ),
            ),
        )

    def batch_sender(self) -> Role:
        """Return the costs of sending batch items to engines."""
        engines = self._size.zone_engines / self._size.zone_hosts
        return Role(
            'Batch sender',
            'One sender for each engine, by rendezvous hashing within the '
            'zone; batch items yield when online requests need the slots.',
            (
                Row(
                    'engines that a host sends batch items to',
                    engines,
                    'engines',
                    '450 engines over 65 hosts of a zone',
                ),
                Row(
                    'finding a slot for an item',
                    self._lines.at('routing.take', self._size.engines),
                    'us',
                    'routing.take at 2,700 engines',
                ),
                Row(
                    'one look at what must yield',
                    self._lines.at('routing.settle', self._size.engines),
                    'us',
                    'routing.settle at 2,700 engines',
                ),
                Row(
                    'a notice of online counts at these engines',
                    self._lines.at('notice.counts', engines),
                    'B',
                    'notice.counts at 6.9 engines',
                ),
            ),
        )

    def catalogue_reader(self) -> Role:
        """Return the costs of keeping the catalogue up to date."""
        objects = self._size.objects
        return Role(
            'Catalogue reader',
            'A watch on the platform, a full list of versions each 30 to '
            '60 s, and digests that peers compare.',
            (
                Row(
                    'state',
                    multiplied(
                        self._lines.at('catalogue.state', objects), _MB_PER_B
                    ),
                    'MB',
                    'catalogue.state at 6,912 objects',
                ),
                Row(
                    'putting an edit in force',
                    self._lines.at('catalogue.edit', objects),
                    'us',
                    'catalogue.edit at 6,912 objects',
                ),
                Row(
                    'reads of a new host',
                    self._lines.at('catalogue.start_reads', objects),
                    'calls',
                    'catalogue.start_reads at 6,912 objects',
                ),
                Row(
                    'reads of a full list',
                    self._lines.at('catalogue.relist_reads', objects),
                    'calls',
                    'catalogue.relist_reads at 6,912 objects',
                ),
            ),
        )

    def limit_sharer(self) -> Role:
        """Return the costs of notices with demands on limits."""
        return Role(
            'Limit sharing',
            'Hosts tell their demand on a limit and get shares of it.',
            (
                Row(
                    'a demand on one more limit',
                    self._lines.slope('notice.demands'),
                    'B',
                    'slope of notice.demands',
                ),
                Row(
                    'packing and reading one more demand',
                    self._lines.slope('notice.demands_cpu'),
                    'us',
                    'slope of notice.demands_cpu',
                ),
            ),
        )

    def _cpu_rows(self) -> tuple[Row, ...]:
        size, lines = self._size, self._lines
        requests = size.requests_per_s / size.hosts
        preemption_checks = (
            _PREEMPTION_CHECKS_PER_S + _PREEMPTION_CHECKS_PER_REQUEST * requests
        )
        items = size.items_per_s / size.hosts
        costs = (
            (
                'membership',
                self._at_peers('membership.cpu'),
                'membership.cpu at 389 peers',
            ),
            (
                'engines anew with each view of the fleet',
                multiplied(
                    lines.at('routing.refresh', size.engines),
                    _FLEET_REFRESHES_PER_S,
                ),
                'routing.refresh at 2,700 engines, 2 a second',
            ),
            (
                'asking engines for their load',
                multiplied(lines.slope('polls.cpu'), _POLLS_PER_S),
                'slope of polls.cpu, 10 polls a second by the settings',
            ),
            (
                'asking own engines whether they leave',
                multiplied(
                    lines.slope('polls.cpu'),
                    size.zone_engines / size.zone_hosts,
                ),
                'slope of polls.cpu, 6.9 engines once a second',
            ),
            (
                'finding out which engines are its own',
                multiplied(
                    lines.at('duties.round', size.engines),
                    _ASSIGNMENT_ROUNDS_PER_S,
                ),
                'duties.round at 2,700 engines, once a second',
            ),
            (
                'looking what must yield',
                multiplied(
                    lines.at('routing.settle', size.engines), preemption_checks
                ),
                'routing.settle at 2,700 engines, 46 a second',
            ),
            (
                'finding slots for batch items',
                multiplied(lines.at('routing.take', size.engines), items),
                'routing.take at 2,700 engines, 1.07 items a second',
            ),
            (
                'edits of the catalogue',
                multiplied(
                    lines.at('catalogue.edit', size.objects),
                    size.edits_per_s,
                ),
                'catalogue.edit at 6,912 objects, 0.025 a second',
            ),
        )
        return tuple(itertools.starmap(_cpu_row, costs))

    def _memory_rows(self) -> tuple[Row, ...]:
        return (
            Row(
                'memory of membership',
                multiplied(self._at_peers('membership.state'), _MB_PER_B),
                'MB',
                'membership.state at 389 peers',
            ),
            Row(
                'memory of the catalogue',
                multiplied(
                    self._lines.at('catalogue.state', self._size.objects),
                    _MB_PER_B,
                ),
                'MB',
                'catalogue.state at 6,912 objects',
            ),
        )

    def _at_peers(self, name: str) -> float | None:
        return self._lines.at(name, self._size.hosts - 1)


def _cpu_row(what: str, us_per_s: float | None, derivation: str) -> Row:
    return Row(
        what,
        multiplied(us_per_s, _PERCENT_PER_US),
        _PERCENT_OF_CORE,
        derivation,
    )
