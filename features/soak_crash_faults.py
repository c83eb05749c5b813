"""Faults of a soak by which engines end."""

from __future__ import annotations

import functools
import itertools
import math
import random
import threading
from collections.abc import Callable

from features import builders_users_platform as users
from features.builders_kept_connections import KeptConnection
from features.soak_bounds import (
    ITEM_PREFIX,
    PART_PREFIX,
    REQUEST_PREFIX,
)
from features.soak_fleet import SoakFleet, prompt_prefix, whole_body
from features.soak_history import Call
from features.soak_jobs import JobCallers
from features.soak_schedule import Fault

_CRASHING_PAUSE_S = 0.15
_WAVE_S = 1.0
_WAVE_SHARE = 1 / 3


class CrashFaults:
    """Crashes engines, alone or under requests and items.

    Args:
        fleet: the engines.
        jobs: submits jobs with items that crash engines.
        seed: draws what the schedule leaves open.
    """

    def __init__(self, fleet: SoakFleet, jobs: JobCallers, seed: int) -> None:
        self._fleet = fleet
        self._jobs = jobs
        self._rng = random.Random(f'{seed} ends')
        self._numbers = itertools.count()
        self._callers: list[threading.Thread] = []

    def settle(self) -> None:
        """Wait for the callers of requests that crash engines."""
        for caller in self._callers:
            caller.join()

    def wave(self, fault: Fault) -> Callable[[], None]:
        """End a third of the engines within a second."""
        began_s = self._fleet.now_s()
        engines = tuple(self._fleet.engines)
        count = math.ceil(len(engines) * _WAVE_SHARE)
        for engine in self._rng.sample(engines, count):
            after_s = self._rng.uniform(0, _WAVE_S)
            self._fleet.later(after_s, self._fleet.crash, engine)
        return functools.partial(self._fleet.record, fault, began_s, ())

    def crash_by_part(self, fault: Fault) -> Callable[[], None]:
        """Send requests and items with a part that crashes engines."""
        part = f'{PART_PREFIX}deadly-{next(self._numbers)}'
        end = self._make_deadly(fault, part)
        self._start_caller(end.over, (part,), '')
        self._submit_items((part, part))
        return end

    def crash_by_request(self, fault: Fault) -> Callable[[], None]:
        """Send a request that crashes engines again and again."""
        body = f'{REQUEST_PREFIX}deadly-{next(self._numbers)}'
        end = self._make_deadly(fault, body)
        self._start_caller(end.over, (), body)
        return end

    def crash_by_item(self, fault: Fault) -> Callable[[], None]:
        """Submit a job with an item that crashes engines, beside another."""
        body = f'{ITEM_PREFIX}deadly-{next(self._numbers)}'
        end = self._make_deadly(fault, body)
        part = f'{PART_PREFIX}item-1'
        self._submit_items((part, part), first_body=body)
        return end

    def _submit_items(
        self, parts: tuple[str, ...], first_body: str = ''
    ) -> None:
        host = self._rng.randrange(self._fleet.history.hosts)
        submit = functools.partial(self._jobs.submit, host, parts, first_body)
        self._callers.append(threading.Thread(target=submit))
        self._callers[-1].start()

    def _make_deadly(self, fault: Fault, name: str) -> _DeadlyName:
        return _DeadlyName(self._fleet, fault, name)

    def _start_caller(
        self, over: threading.Event, parts: tuple[str, ...], body: str
    ) -> None:
        for host in range(self._fleet.history.hosts):
            caller = CrashingCaller(self._fleet, host, parts, body)
            thread = threading.Thread(target=caller.call_until, args=(over,))
            self._callers.append(thread)
            thread.start()


class _DeadlyName:
    """A name in prompts that crashes engines until this is called."""

    def __init__(self, fleet: SoakFleet, fault: Fault, name: str) -> None:
        self.over = threading.Event()
        self._fleet = fleet
        self._fault = fault
        self._name = name
        self._began_s = fleet.now_s()
        fleet.deadly.add(name)

    def __call__(self) -> None:
        """End the fault."""
        self._fleet.deadly.discard(self._name)
        self.over.set()
        self._fleet.record(self._fault, self._began_s, ())


class CrashingCaller:
    """Sends requests that crash engines, on a connection while it is open.

    Args:
        fleet: the hosts.
        host: number of the host.
        parts: parts of the prompts that crash engines.
        body: of all requests; empty for another one each time.
    """

    def __init__(
        self, fleet: SoakFleet, host: int, parts: tuple[str, ...], body: str
    ) -> None:
        self._fleet = fleet
        self._host = host
        self._headers = {
            'Host': users.HOST,
            'Model': 'm',
            'Prompt-Prefix': prompt_prefix(f'{PART_PREFIX}online-1', *parts),
        }
        self._label = '-'.join((*parts, body, str(host)))
        self._body = body
        self._numbers = itertools.count()

    def call_until(self, over: threading.Event) -> None:
        """Send requests until the event is set."""
        connection: KeptConnection | None = None
        while not over.wait(_CRASHING_PAUSE_S):
            connection = connection or self._connect()
            if connection is not None and self._call(connection):
                connection.close()
                connection = None

    def _connect(self) -> KeptConnection | None:
        daemon = self._fleet.daemons[self._host]
        try:
            return KeptConnection(daemon.ip, daemon.front)
        except OSError:
            # The host is down.
            return None

    def _call(self, connection: KeptConnection) -> bool:
        """Send a request; return whether the connection is of no more use."""
        request_id = f'crashing-{self._label}-{next(self._numbers)}'
        sent_s = self._fleet.now_s()
        path = f'{users.STREAM_PREFIX}crashing'
        answer = connection.call(
            path,
            request_id,
            {**self._headers, **self._fleet.daemons[self._host].headers},
            (self._body or f'{REQUEST_PREFIX}{request_id}').encode(),
        )
        self._fleet.history.calls.append(
            Call(
                'crashing',
                request_id,
                self._host,
                path,
                sent_s,
                self._fleet.now_s(),
                answer.status or 0,
                own=answer.body == whole_body(request_id),
            )
        )
        return answer.closes
