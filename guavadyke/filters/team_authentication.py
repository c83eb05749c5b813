"""Finds the team of a caller by the key of its request."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.controllers.key_trust import KeyTrust
from guavadyke.controllers.mirror import Mirror
from guavadyke.decisions.forward_routes import (
    ForwardRoute,
    RouteKind,
    RouteTable,
)
from guavadyke.decisions.teams import Team
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import PlatformSettings
from guavadyke.snapshots import SnapshotCell


class TeamAuthentication:
    """Checks the keys of callers where the configuration has teams.

    Args:
        settings: bounds on the age of the known keys.
        table: the configuration in force.
        mirror: mirrors the configuration.
        metrics: counts the rejected keys.
        logger: logs when the known keys become too old.

    Attributes:
        trust: whether the known keys may be trusted.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        table: SnapshotCell[RouteTable],
        mirror: Mirror,
        metrics: HostMetrics,
        logger: EventLogger,
    ) -> None:
        self.trust = KeyTrust(settings, table, mirror, metrics, logger)
        self._metrics = metrics

    def team_of_request(
        self, table: RouteTable, route: ForwardRoute, key: str
    ) -> Team | None:
        """Return the team of a request, None if it belongs to none.

        Args:
            table: the configuration in force.
            route: the route of the request.
            key: the key that it carries, empty without one.

        Raises:
            GuavadykeError: ``unauthenticated``, no team holds the key;
                ``not_ready``, this host cannot tell which keys are valid.
        """
        if not table.teams:
            return None
        team = table.teams.find(key)
        if route.anonymous and team is None:
            return None
        self.trust.check()
        if team is None:
            raise self._unknown_key()
        return team

    def team_of_job_call(
        self,
        table: RouteTable,
        key: str,
        route_without_team: Callable[[], str | None],
    ) -> str | None:
        """Return the team whose jobs a caller may read and cancel.

        An old configuration does not end access to jobs that are accepted.

        Args:
            table: the configuration in force.
            key: the key of the call, empty without one.
            route_without_team: returns the name of the route of the job, None
                if it has a team or does not exist.

        Returns:
            The team's name; empty for jobs without a team only; None for the
            jobs of all, where the configuration has no teams.

        Raises:
            GuavadykeError: ``unauthenticated``, no team holds the key and the
                job is not one of an anonymous route;
                ``platform_unavailable`` if that cannot be told.
        """
        if not table.teams:
            return None
        team = table.teams.find(key)
        if team is not None:
            return team.name
        anonymous = {
            route.name
            for route in table.routes
            if route.anonymous and route.kind is RouteKind.batch
        }
        if anonymous and route_without_team() in anonymous:
            return ''
        raise self._unknown_key()

    def _unknown_key(self) -> GuavadykeError:
        self._metrics.increment('keys_rejected')
        return GuavadykeError(
            ErrorCode.unauthenticated, 'no team holds the key of the request'
        )
