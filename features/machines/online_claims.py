"""Resends of keyed requests over hosts and a platform that loses answers.

The oracle counts runs by key. Another host's resend may come while the
first request is running.
"""

from __future__ import annotations

import itertools
import random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features import builders_online as online
from features.builders_online_platform import FakeClock, FaultyObjects
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.base import Answer, Exchange
from guavadyke.filters.claim_writer import ClaimWriter
from guavadyke.filters.idempotency import ClaimTools, IdempotencyFilter
from guavadyke.log import EventLogger

_HOSTS = 3
_KEYS = ('k1', 'k2')
_DEADLINE_S = 10

_CODES = frozenset((
    ErrorCode.key_conflict,
    ErrorCode.key_in_progress,
    ErrorCode.platform_unavailable,
    ErrorCode.no_backend_server,
    ErrorCode.backend_failed,
    ErrorCode.backend_rejected,
    ErrorCode.outcome_unknown,
))

hosts = st.integers(0, _HOSTS - 1)
keys = st.sampled_from(_KEYS)
faults = st.lists(
    st.sampled_from(('ok', 'ok', 'ok', 'lost_answer', 'lost_request', 'away')),
    max_size=6,
)
endings = st.sampled_from(('ran', 'not_run', 'unknown', 'rejected'))


class ClaimMachine(RuleBasedStateMachine):
    """At most one run a key, and refusals that say the truth."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.objects = FaultyObjects()
        self.runs: dict[tuple[str, str], int] = {}
        self.answers: dict[str, set[bytes]] = {}
        self.numbers = itertools.count(1)
        self.writes: list[ClaimWriter] = []
        self.filters = [self._filter(number) for number in range(_HOSTS)]

    @rule(
        host=hosts,
        key=keys,
        body=st.sampled_from(('angel', 'angel', 'shepherd')),
        plan=faults,
        ending=endings,
        nested=st.booleans(),
    )
    def a_request_comes(
        self,
        host: int,
        key: str,
        body: str,
        plan: list[str],
        ending: str,
        nested: bool,
    ) -> None:
        self.objects.plan = list(plan)
        self._send(host, key, body, ending, nested=nested)
        self.objects.plan = []

    @rule(seconds=st.sampled_from((1, 20)))
    def time_passes(self, seconds: int) -> None:
        self.clock.sleep(seconds)
        for writes in self.writes:
            writes.work()

    @invariant()
    def at_most_one_run(self) -> None:
        runs: dict[str, int] = {}
        for (key, _body), count in self.runs.items():
            runs[key] = runs.get(key, 0) + count
        assert all(count <= 1 for count in runs.values()), runs

    @invariant()
    def one_answer(self) -> None:
        assert all(len(bodies) == 1 for bodies in self.answers.values())

    def _send(
        self,
        host: int,
        key: str,
        body: str,
        ending: str,
        *,
        nested: bool = False,
    ) -> None:
        exchange = self._exchange(key, body)
        began: list[str] = []

        def run(_exchange: Exchange) -> Answer:
            began.append(body)
            if nested:
                self._send((host + 1) % _HOSTS, key, body, 'ran')
            return self._end(key, body, ending)

        try:
            answer = self.filters[host].apply(exchange, run)
        except GuavadykeError as error:
            assert error.code in _CODES, error.code
            if error.run is RunStatus.not_run and began:
                assert ending == 'not_run', error.code
            if error.code is ErrorCode.key_conflict:
                assert not began
            return
        assert isinstance(answer.body, bytes)
        assert answer.status != 200 or body.encode() in answer.body
        self.answers.setdefault(f'{key}/{body}', set()).add(answer.body)

    def _end(self, key: str, body: str, ending: str) -> Answer:
        if ending == 'not_run':
            raise GuavadykeError(ErrorCode.no_backend_server, 'none')
        runs = self.runs.get((key, body), 0) + 1
        self.runs[key, body] = runs
        if ending == 'unknown':
            raise GuavadykeError(ErrorCode.backend_failed, 'broken')
        if ending == 'rejected':
            raise GuavadykeError(ErrorCode.backend_rejected, 'no')
        number = next(self.numbers)
        return Answer(200, f'answer {number} of {body}'.encode())

    def _exchange(self, key: str, body: str) -> Exchange:
        exchange: Any = online.exchange('/v1/services/booking/x', {})
        exchange.owner = 'pesebres'
        exchange.entry_name = 'booking'
        exchange.idempotency_key = key
        exchange.body = body.encode()
        exchange.deadline = self.clock.monotonic() + _DEADLINE_S
        return exchange

    def _filter(self, number: int) -> IdempotencyFilter:
        store = WriteConfirmingStore(
            self.objects, self.clock, random.Random(number)
        )
        writes = ClaimWriter(store, EventLogger())
        self.writes.append(writes)
        host_id = f'entry-{number}'
        return IdempotencyFilter(ClaimTools(host_id, self.clock, store, writes))
