"""Teams of a soak and the callers who use their keys."""

from __future__ import annotations

import functools
import itertools
import random
import threading
import types
from collections.abc import Callable, Mapping

import urllib3

from features import builders_users_platform as users
from features.builders_teams import STRICT
from features.soak_fleet import SoakFleet, prompt_prefix, whole_body
from features.soak_history import Call
from features.soak_schedule import Schedule

# Keys by the name that calls give them, each of another team.
_KEYS: Mapping[str, str] = types.MappingProxyType({
    'kept': 'secret-of-amber',
    'removed': 'secret-of-birch',
})
_TEAMS: Mapping[str, str] = types.MappingProxyType({
    'kept': 'amber',
    'removed': 'birch',
})
_CALLERS_PER_HOST = 2
_LONGEST_PAUSE_S = 0.3


def _team_specs(*, removed: bool) -> list[dict[str, object]]:
    """Return the teams of the configuration.

    Args:
        removed: whether the configuration no longer has the key that is
            removed during the soak.
    """
    return [
        {
            'Name': team,
            'ApiKeys': [] if removed and name == 'removed' else [_KEYS[name]],
        }
        for name, team in _TEAMS.items()
    ]


def _credentials(key: str = 'kept') -> dict[str, str]:
    """Return the header that carries a key, by its name."""
    return {'Authorization': f'Token {_KEYS[key]}'}


class TeamCallers:
    """Callers under both keys until the end, at each host.

    Args:
        fleet: the hosts, and the history that gets the calls.
        schedule: has the number of hosts and the seed.
        ending: is set at the end.
    """

    def __init__(
        self, fleet: SoakFleet, schedule: Schedule, ending: threading.Event
    ) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._ending = ending
        self._numbers = itertools.count()

    @property
    def work(self) -> list[Callable[[], None]]:
        """What each caller does until the end; nothing without teams."""
        if not self._schedule.key_removed_s:
            return []
        return [
            functools.partial(self._call_until_end, number)
            for number in range(_CALLERS_PER_HOST * self._schedule.hosts)
        ]

    def add(self) -> None:
        """Add the teams; all other callers use the key that is kept."""
        self._fleet.history.teams = dict(_TEAMS)
        self._fleet.team_specs = _team_specs(removed=False)
        self._fleet.settings = dict(STRICT)
        self._fleet.headers = _credentials()

    def remove_key(self) -> None:
        """Write a configuration without one of the keys."""
        self._fleet.team_specs = _team_specs(removed=True)
        self._fleet.configure()
        self._fleet.history.key_removed_s = self._fleet.now_s()

    def _call_until_end(self, caller: int) -> None:
        rng = random.Random(f'{self._schedule.seed} teams {caller}')
        host = caller % self._schedule.hosts
        while not self._ending.wait(rng.uniform(0, _LONGEST_PAUSE_S)):
            self._call(host, rng.choice(tuple(_KEYS)))

    def _call(self, host: int, key: str) -> None:
        request_id = f'team-{next(self._numbers)}'
        sent_s = self._fleet.now_s()
        headers = {
            'Request-Id': request_id,
            'Model': 'm',
            'Prompt-Prefix': prompt_prefix(),
            # A claim that no host may pass on.
            'Tenant-Id': 'nobody',
            **_credentials(key),
        }
        status, body = self._answer(host, headers)
        self._fleet.history.calls.append(
            Call(
                'team',
                request_id,
                host,
                users.STREAM_PREFIX,
                sent_s,
                self._fleet.now_s(),
                status,
                own=body == whole_body(request_id),
                key=key,
            )
        )

    def _answer(
        self, host: int, headers: Mapping[str, str]
    ) -> tuple[int, bytes]:
        try:
            answer = self._fleet.daemons[host].call(
                'POST', f'{users.STREAM_PREFIX}1', headers=headers
            )
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return answer.status, answer.data
