"""Claims of idempotency keys: who may run a request, and what came of it.

A claim is an object of the platform, created before the dispatch. Only
its creation gives the right to run, so at most one dispatch follows from
a key whatever clocks say. A claim is given up only by its claimant, and
only with proof that the request did not run.
"""

from __future__ import annotations

import base64
import dataclasses
import enum
import hashlib
import json

import pydantic

from guavadyke.errors import ErrorCode, GuavadykeError, Run
from guavadyke.filters.base import Answer, Exchange
from guavadyke.settings import SettingsModel

CLAIM_KIND = 'claim'
MAX_OUTCOME_BYTES = 524_288
_MARGIN_S = 5.0


class ClaimState(enum.StrEnum):
    """Where the request of a claim stands."""

    claimed = 'claimed'
    done = 'done'
    unknown = 'unknown'


class Outcome(SettingsModel):
    """The answer that the first request got; the body is base64."""

    status: int
    content_type: str
    body: str


class Claim(SettingsModel):
    """A claim as the platform holds it.

    ``token`` is the claimant's own; ``created`` is seconds since the
    epoch; after ``bound_s`` seconds the claimant is taken for dead.
    """

    state: ClaimState
    token: str
    host_id: str
    body_hash: str
    created: float
    bound_s: float
    ran: bool = False
    outcome: Outcome | None = None

    def done(self, answer: Answer, body: bytes) -> Claim:
        """Return the claim with the answer of its request.

        A body that is too large to be kept leaves the outcome out.
        """
        if len(body) > MAX_OUTCOME_BYTES:
            return self.unknown(ran=True)
        outcome = Outcome(
            status=answer.status,
            content_type=answer.content_type,
            body=base64.b64encode(body).decode(),
        )
        changes = {'state': ClaimState.done, 'ran': True, 'outcome': outcome}
        return self.model_copy(update=changes)

    def unknown(self, *, ran: bool) -> Claim:
        """Return the claim of a request whose outcome cannot be told."""
        changes = {'state': ClaimState.unknown, 'ran': ran}
        return self.model_copy(update=changes)

    def dump(self) -> bytes:
        """Return the claim as JSON."""
        return self.model_dump_json().encode()


@dataclasses.dataclass(frozen=True)
class ClaimSpec:
    """What a request asks to claim."""

    name: str
    body_hash: str

    @classmethod
    def of(cls, exchange: Exchange) -> ClaimSpec:
        """Return the wish of a request with an idempotency key."""
        key = exchange.idempotency_key
        scope = [exchange.owner, exchange.entry_name, key]
        asked = [exchange.method, exchange.path, exchange.query_string]
        return cls(
            name=_digest(json.dumps(scope).encode()),
            body_hash=_digest(json.dumps(asked).encode(), exchange.body),
        )


def parse_claim(body: bytes) -> Claim:
    """Read a claim.

    Raises:
        GuavadykeError: ``outcome_unknown``, it cannot be read.
    """
    try:
        return Claim.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.outcome_unknown,
            'the claim of this key cannot be read',
        ) from error


def bound_s(deadline: float, now: float) -> float:
    """Return the seconds after which a claimant is taken for dead.

    It dispatches nothing after its deadline.
    """
    return max(0, deadline - now) + _MARGIN_S


def recorded_answer(
    claim: Claim,
    claim_spec: ClaimSpec,
    wall: float,
) -> Answer | None:
    """Return the first answer, or None while the first request may run.

    Args:
        claim: the claim that another request holds.
        claim_spec: what this request asks.
        wall: seconds since the epoch.

    Raises:
        GuavadykeError: the key belongs to another body, or what came of
            the first request cannot be told.
    """
    if claim.body_hash != claim_spec.body_hash:
        raise GuavadykeError(
            ErrorCode.key_conflict,
            'the idempotency key was used with another request',
        )
    if claim.outcome is not None:
        outcome = claim.outcome
        return Answer(
            status=outcome.status,
            body=base64.b64decode(outcome.body),
            content_type=outcome.content_type,
            headers={'Idempotency-Replayed': 'true'},
        )
    overdue = wall > claim.created + claim.bound_s
    if claim.state is ClaimState.claimed and not overdue:
        return None
    raise GuavadykeError(
        ErrorCode.outcome_unknown,
        'what came of the first request with this key is not known',
        run=Run.ran if claim.ran else Run.unknown,
    )


def is_past_retention(claim: Claim, wall: float, kept_s: float) -> bool:
    """Return whether a claim has been kept long enough."""
    return wall > claim.created + claim.bound_s + kept_s


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
