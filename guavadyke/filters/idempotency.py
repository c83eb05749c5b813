"""Filter that runs the request of an idempotency key at most once."""

from __future__ import annotations

import dataclasses
import uuid
from collections.abc import Iterator

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.claims import (
    CLAIM_KIND,
    MAX_OUTCOME_BYTES,
    Claim,
    ClaimSpec,
    ClaimState,
    bound_s,
    parse_claim,
    recorded_answer,
)
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    RunStatus,
)
from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.filters.claim_writer import ClaimWriter
from guavadyke.filters.response_bodies import EndingBody
from guavadyke.http_application import error_answer

_LONGEST_WAIT_S = 2.0
_LOOK_S = 0.25
_DONE_MARK = b'data: [DONE]'


@dataclasses.dataclass(frozen=True)
class ClaimTools:
    """What claims need."""

    host_id: str
    clock: Clock
    store: WriteConfirmingStore
    writes: ClaimWriter


@dataclasses.dataclass(frozen=True)
class _Held:
    """A claim that this request holds, and its object."""

    claim: Claim
    stored: StoredObject


class IdempotencyFilter(Filter):
    """Claims the key before the dispatch and keeps the outcome after it.

    Args:
        tools: platform, clock and this host.
    """

    def __init__(self, tools: ClaimTools) -> None:
        self._tools = tools

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle the exchange, once for each key.

        Raises:
            GuavadykeError: the key is in use, or the request failed.
        """
        if not exchange.idempotency_key:
            return following(exchange)
        claim_spec = ClaimSpec.of(exchange)
        held = self._claimed(exchange, claim_spec)
        if isinstance(held, Answer):
            return held
        return self._run(exchange, following, held)

    def _claimed(
        self, exchange: Exchange, claim_spec: ClaimSpec
    ) -> _Held | Answer:
        """Claim the key, or return the answer of the first request."""
        clock = self._tools.clock
        until = clock.monotonic() + _LONGEST_WAIT_S
        while True:
            held = self._created(exchange, claim_spec)
            if held is not None:
                return held
            answer = self._first_answer(claim_spec)
            if answer is not None:
                return answer
            if clock.monotonic() >= until:
                raise GuavadykeError(
                    ErrorCode.key_in_progress,
                    'the first request with this key is still running',
                    retry_after_s=1,
                )
            clock.sleep(_LOOK_S)

    def _created(
        self, exchange: Exchange, claim_spec: ClaimSpec
    ) -> _Held | None:
        """Create the claim; None where there is one.

        Raises:
            GuavadykeError: the platform is away; nothing was dispatched.
        """
        tools = self._tools
        claim = Claim(
            state=ClaimState.claimed,
            token=uuid.uuid4().hex,
            host_id=tools.host_id,
            body_hash=claim_spec.body_hash,
            created=tools.clock.wall(),
            bound_s=bound_s(
                exchange.deadline,
                tools.clock.monotonic(),
            ),
        )
        try:
            stored = tools.store.create(
                CLAIM_KIND,
                claim_spec.name,
                claim.dump(),
            )
        except ObjectConflictError:
            return None
        except PlatformOutcomeUnknownError as error:
            tools.writes.give_up(claim_spec.name, claim.token)
            raise _no_claim() from error
        return _Held(claim, stored)

    def _first_answer(self, claim_spec: ClaimSpec) -> Answer | None:
        stored = self._tools.store.read(CLAIM_KIND, claim_spec.name)
        if stored is None:
            return None
        return recorded_answer(
            parse_claim(stored.body),
            claim_spec,
            self._tools.clock.wall(),
        )

    def _run(
        self,
        exchange: Exchange,
        following: Handler,
        held: _Held,
    ) -> Answer:
        try:
            answer = following(exchange)
        except GuavadykeError as error:
            self._keep_failure(exchange, held, error)
            raise
        except BaseException:
            self._keep(held, held.claim.unknown(ran=False))
            raise
        if isinstance(answer.body, bytes):
            self._keep(held, held.claim.done(answer, answer.body))
            return answer
        recorder = _Recorder(answer, answer.body)
        answer.body = EndingBody(
            iter(recorder),
            lambda: self._keep(held, recorder.outcome(held.claim)),
        )
        return answer

    def _keep_failure(
        self,
        exchange: Exchange,
        held: _Held,
        error: GuavadykeError,
    ) -> None:
        if error.run is RunStatus.not_run:
            self._tools.writes.release(held.stored)
        elif error.code is ErrorCode.backend_rejected:
            answer = error_answer(error, exchange.request_id)
            body = answer.body if isinstance(answer.body, bytes) else b''
            self._keep(held, held.claim.done(answer, body))
        else:
            ran = error.run is RunStatus.ran
            self._keep(held, held.claim.unknown(ran=ran))

    def _keep(self, held: _Held, claim: Claim) -> None:
        self._tools.writes.keep(held.stored, claim.dump())


class _Recorder:
    """Keeps what a stream has passed on, up to a bound."""

    def __init__(self, answer: Answer, pieces: Iterator[bytes]) -> None:
        self._answer = answer
        self._pieces = pieces
        self._kept: list[bytes] = []
        self._kept_bytes = 0

    def __iter__(self) -> Iterator[bytes]:
        for piece in self._pieces:
            self._kept_bytes += len(piece)
            if self._kept_bytes <= MAX_OUTCOME_BYTES:
                self._kept.append(piece)
            yield piece

    def outcome(self, claim: Claim) -> Claim:
        """Return the claim with what came of its request."""
        body = b''.join(self._kept)
        whole = len(body) == self._kept_bytes and _DONE_MARK in body
        if not whole:
            return claim.unknown(ran=True)
        return claim.done(self._answer, body)


def _no_claim() -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.platform_unavailable,
        'the idempotency key could not be claimed',
        retry_after_s=2,
        run=RunStatus.not_run,
    )
