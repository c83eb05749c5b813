"""Teams, their keys and the priority of their requests.

Answers the load of many teams that share one fleet: each request belongs to
the team whose key it carries, and that team's limits and priority count.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import secrets
import types
from collections.abc import Iterable, Mapping

_SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of the configuration, without its keys.

    Attributes:
        name: unique name.
        priority: priority of its requests, None to use that of the route.
        requests_per_s: requests a second over all hosts, 0 for no limit.
        burst: requests above that rate that may come at once.
    """

    name: str
    priority: int | None = None
    requests_per_s: float = 0
    burst: float = 0

    @property
    def limited(self) -> bool:
        """Whether the team has a limit on its requests."""
        return self.requests_per_s > 0


_NO_TEAMS: Mapping[Team, Iterable[str]] = types.MappingProxyType({})


class TeamDirectory:
    """The teams of one version of the configuration, found by their keys.

    Keys are kept only as digests under a secret of this process. What the
    time of a look-up tells of a digest tells nothing of a key. An empty key
    belongs to no team.

    Args:
        teams: all teams with their keys.
    """

    def __init__(self, teams: Mapping[Team, Iterable[str]] = _NO_TEAMS) -> None:
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self.teams = {team.name: team for team in teams}
        self._by_digest = {
            self._digest(key): team
            for team, keys in teams.items()
            for key in keys
            if key
        }

    def __bool__(self) -> bool:
        """Return whether the configuration has teams."""
        return bool(self.teams)

    def find(self, key: str) -> Team | None:
        """Return the team that holds a key, None if no team does."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        return hmac.digest(self._secret, key.encode(), hashlib.sha256)


def request_priority(route_priority: int, team: Team | None) -> int:
    """Return the priority of a request; lower numbers are served first."""
    if team is None or team.priority is None:
        return route_priority
    return team.priority
