"""Daemons whose configuration has teams with limits."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

import urllib3

from features import builders_users_platform as users
from features.builders_forward_processes import DaemonProcess, UsersFleet

_CALLERS = 8


class TeamFleet(UsersFleet):
    """Daemons in front of engines, with teams.

    Args:
        limits: requests a second by the names of the teams.
    """

    def __init__(self, limits: Mapping[str, int]) -> None:
        super().__init__()
        self._limits = limits
        self._numbers = itertools.count()

    def configure(self) -> None:
        """Write a configuration with the teams to the store."""
        tenants = [
            {'Name': name, 'ApiKeys': [f'key-{name}'], 'RatePerS': per_s}
            for name, per_s in self._limits.items()
        ]
        configuration = {**users.configuration(), 'Tenants': tenants}
        self.store.put('config', 'main', configuration)

    def send_to_each(
        self, team: str, count: int
    ) -> list[urllib3.BaseHTTPResponse]:
        """Send requests of a team to each daemon; return the answers."""
        with ThreadPoolExecutor(_CALLERS) as callers:
            return list(
                callers.map(
                    lambda daemon: self._send(daemon, team),
                    count * self.daemons,
                )
            )

    def _send(
        self, daemon: DaemonProcess, team: str
    ) -> urllib3.BaseHTTPResponse:
        return daemon.call(
            'POST',
            f'{users.STREAM_PREFIX}1',
            body=b'text',
            headers={
                'Request-Id': f'{team}-{next(self._numbers)}',
                'Model': 'm',
                'Authorization': f'Token key-{team}',
            },
        )
