"""Claims of idempotency keys, so that a request runs at most once.

A claim is an object in the platform's store, created before the request
is dispatched. Only the host that creates the claim may run the request,
so each key leads to at most one dispatch, regardless of clock skew. A
claim is deleted early only by the host that created it, and only with
proof that the request did not run.
"""

from __future__ import annotations

import base64
import dataclasses
import enum
import hashlib
import json

import pydantic

from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.base import Answer, Exchange
from guavadyke.settings import SettingsModel

CLAIM_KIND = 'claim'
MAX_OUTCOME_BYTES = 524_288
_MARGIN_S = 5.0


class ClaimState(enum.StrEnum):
    """State of the request that a claim belongs to.

    ``claimed``: it may be running; ``done``: its outcome is stored;
    ``unknown``: its outcome cannot be determined.
    """

    claimed = 'claimed'
    done = 'done'
    unknown = 'unknown'


class Outcome(SettingsModel):
    """The stored answer to the first request; the body is in base64."""

    status: int
    content_type: str
    body: str


class Claim(SettingsModel):
    """A claim as it is stored on the platform.

    ``token`` identifies the request that created the claim; ``body_hash``
    identifies the content of that request; ``created`` is in seconds
    since the epoch. A claim that is still ``claimed`` after ``bound_s``
    seconds counts as abandoned. ``ran`` is True where the request is
    known to have run.
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
        """Return a copy of the claim that holds the answer.

        Where the body is larger than the limit for stored outcomes, the
        copy is in the state ``unknown`` instead.
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
        """Return a copy of the claim in the state ``unknown``.

        Args:
            ran: whether the request is known to have run.
        """
        changes = {'state': ClaimState.unknown, 'ran': ran}
        return self.model_copy(update=changes)

    def dump(self) -> bytes:
        """Return the claim in its stored form, JSON."""
        return self.model_dump_json().encode()


@dataclasses.dataclass(frozen=True)
class ClaimSpec:
    """The claim that a request with an idempotency key needs.

    ``name`` is the object name of the claim, a hash of owner, entry and
    key; ``body_hash`` is a hash of method, path, query and body.
    """

    name: str
    body_hash: str

    @classmethod
    def from_exchange(cls, exchange: Exchange) -> ClaimSpec:
        """Return the claim that a request needs."""
        key = exchange.idempotency_key
        scope = [exchange.owner, exchange.entry_name, key]
        asked = [exchange.method, exchange.path, exchange.query_string]
        return cls(
            name=_digest(json.dumps(scope).encode()),
            body_hash=_digest(json.dumps(asked).encode(), exchange.body),
        )


def parse_claim(body: bytes) -> Claim:
    """Parse a stored claim.

    Raises:
        GuavadykeError: ``outcome_unknown``, the claim is malformed.
    """
    try:
        return Claim.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.outcome_unknown,
            'the claim of this key cannot be read',
        ) from error


def bound_s(deadline: float, now: float) -> float:
    """Return the seconds after which a claim counts as abandoned.

    A host dispatches nothing after the deadline of the request.

    Args:
        deadline: deadline of the request, on the clock of ``now``.
        now: current time in seconds.
    """
    return max(0, deadline - now) + _MARGIN_S


def recorded_answer(
    claim: Claim,
    claim_spec: ClaimSpec,
    wall: float,
) -> Answer | None:
    """Return the answer that the first request with the same key got.

    Args:
        claim: the claim that the first request created.
        claim_spec: the claim that this request needs.
        wall: seconds since the epoch.

    Returns:
        None while the first request may still be running.

    Raises:
        GuavadykeError: ``key_conflict``, the key was used with another
            request; ``outcome_unknown``, the first request left no answer.
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
    abandoned = wall > claim.created + claim.bound_s
    if claim.state is ClaimState.claimed and not abandoned:
        return None
    raise GuavadykeError(
        ErrorCode.outcome_unknown,
        'it is not known what the first request with this key did',
        run=RunStatus.ran if claim.ran else RunStatus.unknown,
    )


def is_past_retention(claim: Claim, wall: float, retention_s: float) -> bool:
    """Return whether a claim is past its retention time.

    Args:
        claim: the claim.
        wall: seconds since the epoch.
        retention_s: seconds for which claims are kept after they may no longer
            be running.
    """
    return wall > claim.created + claim.bound_s + retention_s


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
