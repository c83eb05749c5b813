"""Callers of a soak that use a connection until its host closes it."""

from __future__ import annotations

import functools
import itertools
import random
import threading
from collections.abc import Callable

from features import builders_users_platform as users
from features.builders_kept_connections import KeptAnswer, KeptConnection
from features.soak_fleet import SLOW_PATH, SoakFleet, whole_body
from features.soak_history import Call
from features.soak_schedule import Schedule

_PER_HOST = 10
_LONGEST_IDLE_S = 3.0


class KeptCallers:
    """Several callers for each host; what they see goes into the history.

    Args:
        fleet: the hosts.
        schedule: its seed draws when connections are used.
        ending: set when the callers have to end.
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
        """What each caller does until the end."""
        return [
            functools.partial(self._call_until_end, number)
            for number in range(_PER_HOST * self._schedule.hosts)
        ]

    def _call_until_end(self, caller: int) -> None:
        rng = random.Random(f'{self._schedule.seed} kept {caller}')
        host = caller % self._schedule.hosts
        connection: KeptConnection | None = None
        while not self._ending.wait(rng.uniform(0, _LONGEST_IDLE_S)):
            if connection is None:
                connection = self._connect(host)
            elif self._call(connection, host).closes:
                connection.close()
                connection = None

    def _connect(self, host: int) -> KeptConnection | None:
        daemon = self._fleet.daemons[host]
        try:
            return KeptConnection(daemon.ip, daemon.front)
        except OSError:
            # The host is down.
            return None

    def _call(self, connection: KeptConnection, host: int) -> KeptAnswer:
        request_id = f'kept-{next(self._numbers)}'
        sent_s = self._fleet.now_s()
        headers = self._fleet.daemons[host].headers
        answer = connection.call(
            SLOW_PATH, request_id, {'Host': users.HOST, 'Model': 'm', **headers}
        )
        self._fleet.history.calls.append(
            Call(
                'kept',
                request_id,
                host,
                SLOW_PATH,
                sent_s,
                self._fleet.now_s(),
                answer.status or 0,
                own=answer.body == whole_body(request_id),
            )
        )
        return answer
