"""JSON bodies of the platform objects that report prompts."""

from __future__ import annotations

import hashlib

import pydantic

from guavadyke.controllers.prompt_trials import TrialClaim
from guavadyke.decisions.prompt_quarantine import Suspect
from guavadyke.decisions.prompt_reports import PromptReport
from guavadyke.errors import ErrorCode, GuavadykeError

REPORT_KIND = 'prompt-reports'
_DIGEST_BYTES = 10


class _SuspectDocument(pydantic.BaseModel):
    part: str
    depth: int


class _ClaimDocument(pydantic.BaseModel):
    part: str
    host: str


class _ReportDocument(pydantic.BaseModel):
    incarnation: str = ''
    suspects: tuple[_SuspectDocument, ...] = ()
    completed: tuple[str, ...] = ()
    at: float
    # Hosts of earlier versions read a claim as an empty report.
    trial: _ClaimDocument | None = None


def claim_name(part: str) -> str:
    """Return the object name of the claims to try a part."""
    digest = hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES)
    return f'trial.{digest.hexdigest()}'


def encode_claim(claim: TrialClaim) -> bytes:
    """Encode the body of a claim's object."""
    document = _ReportDocument(
        at=claim.at,
        trial=_ClaimDocument(part=claim.part, host=claim.host_id),
    )
    return document.model_dump_json().encode()


def encode_report(report: PromptReport) -> bytes:
    """Encode the body of a report's object."""
    document = _ReportDocument(
        incarnation=report.incarnation,
        suspects=tuple(
            _SuspectDocument(part=one.part, depth=one.depth)
            for one in report.suspects
        ),
        completed=report.completed,
        at=report.at,
    )
    return document.model_dump_json(exclude_none=True).encode()


def decode_report(name: str, body: bytes) -> PromptReport | TrialClaim:
    """Decode the object of a report or a claim.

    Raises:
        GuavadykeError: the body is neither.
    """
    try:
        document = _ReportDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.internal,
            f'{name} on the platform is not a valid report: {error}',
        ) from error
    if document.trial is not None:
        return TrialClaim(document.trial.part, document.trial.host, document.at)
    return PromptReport(
        at=document.at,
        incarnation=document.incarnation,
        suspects=tuple(
            Suspect(one.part, one.depth) for one in document.suspects
        ),
        completed=document.completed,
    )
