"""Filter that runs requests with an idempotency key at most once."""

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
from guavadyke.filters.response_bodies import BodyWithEndCallback
from guavadyke.http_application import error_answer

_MAX_WAIT_S = 2.0
_POLL_INTERVAL_S = 0.25
_DONE_MARK = b'data: [DONE]'


@dataclasses.dataclass(frozen=True)
class ClaimTools:
    """Dependencies of claims: this host, clock and claim storage."""

    host_id: str
    clock: Clock
    store: WriteConfirmingStore
    writes: ClaimWriter


@dataclasses.dataclass(frozen=True)
class _HeldClaim:
    """A claim that this request created, and its stored object."""

    claim: Claim
    stored: StoredObject


class IdempotencyFilter(Filter):
    """Claims the idempotency key and records the request's outcome.

    The claim is an object on the platform, created before the request is
    dispatched. A repeated request gets the recorded outcome of the first
    one, whichever host receives it.

    Args:
        tools: dependencies of claims.
    """

    def __init__(self, tools: ClaimTools) -> None:
        self._tools = tools

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Run the request, or answer with the outcome of the first one.

        Raises:
            GuavadykeError: the request failed, the key could not be
                claimed, or the first request with the key still runs, had
                another body or has an unknown outcome.
        """
        if not exchange.idempotency_key:
            return following(exchange)
        claim_spec = ClaimSpec.from_exchange(exchange)
        held = self._claim_or_answer(exchange, claim_spec)
        if isinstance(held, Answer):
            return held
        return self._run_claimed(exchange, following, held)

    def _claim_or_answer(
        self,
        exchange: Exchange,
        claim_spec: ClaimSpec,
    ) -> _HeldClaim | Answer:
        """Claim the key, or return the first request's recorded answer."""
        clock = self._tools.clock
        until = clock.monotonic() + _MAX_WAIT_S
        while True:
            held = self._try_create(exchange, claim_spec)
            if held is not None:
                return held
            answer = self._find_answer(claim_spec)
            if answer is not None:
                return answer
            if clock.monotonic() >= until:
                raise GuavadykeError(
                    ErrorCode.key_in_progress,
                    'the first request with this key is still running',
                    retry_after_s=1,
                )
            clock.sleep(_POLL_INTERVAL_S)

    def _try_create(
        self,
        exchange: Exchange,
        claim_spec: ClaimSpec,
    ) -> _HeldClaim | None:
        """Create the claim; return None if the key has one already.

        Raises:
            GuavadykeError: the platform is unavailable; the request was
                not dispatched.
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
            tools.writes.delete_unconfirmed(claim_spec.name, claim.token)
            raise _claim_error() from error
        return _HeldClaim(claim, stored)

    def _find_answer(self, claim_spec: ClaimSpec) -> Answer | None:
        stored = self._tools.store.read(CLAIM_KIND, claim_spec.name)
        if stored is None:
            return None
        return recorded_answer(
            parse_claim(stored.body),
            claim_spec,
            self._tools.clock.wall(),
        )

    def _run_claimed(
        self,
        exchange: Exchange,
        following: Handler,
        held: _HeldClaim,
    ) -> Answer:
        try:
            answer = following(exchange)
        except GuavadykeError as error:
            self._record_failure(exchange, held, error)
            raise
        except BaseException:
            self._record_outcome(held, held.claim.unknown(ran=False))
            raise
        if isinstance(answer.body, bytes):
            self._record_outcome(held, held.claim.done(answer, answer.body))
            return answer
        recorder = _StreamRecorder(answer, answer.body)
        answer.body = BodyWithEndCallback(
            iter(recorder),
            lambda: self._record_outcome(held, recorder.outcome(held.claim)),
        )
        return answer

    def _record_failure(
        self,
        exchange: Exchange,
        held: _HeldClaim,
        error: GuavadykeError,
    ) -> None:
        if error.run is RunStatus.not_run:
            self._tools.writes.release(held.stored)
        elif error.code is ErrorCode.backend_rejected:
            answer = error_answer(error, exchange.request_id)
            body = answer.body if isinstance(answer.body, bytes) else b''
            self._record_outcome(held, held.claim.done(answer, body))
        else:
            ran = error.run is RunStatus.ran
            self._record_outcome(held, held.claim.unknown(ran=ran))

    def _record_outcome(self, held: _HeldClaim, claim: Claim) -> None:
        self._tools.writes.record_outcome(held.stored, claim.dump())


class _StreamRecorder:
    """Records the chunks of a streamed answer, up to a maximum size."""

    def __init__(self, answer: Answer, pieces: Iterator[bytes]) -> None:
        self._answer = answer
        self._pieces = pieces
        self._recorded: list[bytes] = []
        self._passed_bytes = 0

    def __iter__(self) -> Iterator[bytes]:
        for piece in self._pieces:
            self._passed_bytes += len(piece)
            if self._passed_bytes <= MAX_OUTCOME_BYTES:
                self._recorded.append(piece)
            yield piece

    def outcome(self, claim: Claim) -> Claim:
        """Return the claim with the request's outcome.

        The outcome is unknown where the stream broke off or was too long
        to record.
        """
        body = b''.join(self._recorded)
        whole = len(body) == self._passed_bytes and _DONE_MARK in body
        if not whole:
            return claim.unknown(ran=True)
        return claim.done(self._answer, body)


def _claim_error() -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.platform_unavailable,
        'the idempotency key could not be claimed',
        retry_after_s=2,
        run=RunStatus.not_run,
    )
