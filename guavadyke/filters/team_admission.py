"""Admits the requests of teams: their keys, then their allowances."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from guavadyke.adapters.ports import Clock, PeerMessenger
from guavadyke.controllers.allowance_reports import AllowanceReports
from guavadyke.controllers.mirror import Mirror
from guavadyke.controllers.team_allowances import (
    AllowanceParts,
    TeamAllowances,
)
from guavadyke.decisions.allowance_stock import Denial, Grant
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.teams import Team
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.base import Answer
from guavadyke.filters.team_authentication import TeamAuthentication
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_MIN_RETRY_S = 0.01


@dataclasses.dataclass(frozen=True)
class TeamAdmissionParts:
    """What the checks of a host are made of.

    ``table`` holds the configuration in force, which ``table_mirror``
    mirrors; ``fleet`` holds the other hosts, which ``messenger`` reaches.
    """

    settings: ForwardHostSettings
    table: SnapshotCell[RouteTable]
    table_mirror: Mirror
    fleet: SnapshotCell[FleetSnapshot]
    messenger: PeerMessenger
    clock: Clock
    rng: random.Random
    metrics: HostMetrics
    logger: EventLogger


class TeamAdmission:
    """The checks that the requests of teams pass on this host.

    ``authentication`` finds the team of a caller.
    """

    def __init__(self, parts: TeamAdmissionParts) -> None:
        self.authentication = TeamAuthentication(
            parts.settings.platform,
            parts.table,
            parts.table_mirror,
            parts.metrics,
            parts.logger,
        )
        self._allowances = TeamAllowances(
            AllowanceParts(
                parts.settings,
                parts.fleet,
                parts.table,
                parts.messenger,
                parts.clock,
                parts.rng,
                AllowanceReports(parts.metrics, parts.logger),
            ),
        )

    def start(self) -> None:
        """Start to issue permits of teams."""
        self._allowances.start()

    def close(self) -> None:
        """Stop issuing permits."""
        self._allowances.close()

    def answer(
        self, team: Team | None, forward: Callable[[], Answer]
    ) -> Answer:
        """Forward a request if the allowance of its team permits.

        Args:
            team: its team, None for none.
            forward: forwards it.

        Raises:
            GuavadykeError: ``limit_exceeded``, the team is over its
                allowance; ``overloaded``, no host tells whether it is; or an
                error of ``forward``.
        """
        if team is None:
            return forward()
        grant = self._take(team)
        try:
            return forward()
        except GuavadykeError as error:
            if error.run is RunStatus.not_run:
                self._allowances.give_back(team, grant)
            raise

    def _take(self, team: Team) -> Grant:
        verdict = self._allowances.take(team)
        if isinstance(verdict, Denial):
            raise _refusal(team, verdict)
        return verdict


def _refusal(team: Team, denial: Denial) -> GuavadykeError:
    retry_after_s = max(_MIN_RETRY_S, round(denial.wait_s, 2))
    if denial.over:
        return GuavadykeError(
            ErrorCode.limit_exceeded,
            f'team {team.name} has used its allowance of '
            f'{team.requests_per_s:g} requests a second',
            retry_after_s=retry_after_s,
        )
    return GuavadykeError(
        ErrorCode.overloaded,
        f'no host tells now whether team {team.name} is within its allowance',
        retry_after_s=retry_after_s,
    )
