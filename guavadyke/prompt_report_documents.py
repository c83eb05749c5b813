"""JSON bodies of the platform objects that report prompts."""

from __future__ import annotations

import pydantic

from guavadyke.decisions.prompt_quarantine import Suspect
from guavadyke.decisions.prompt_reports import PromptReport
from guavadyke.errors import ErrorCode, GuavadykeError

REPORT_KIND = 'prompt-reports'


class _SuspectDocument(pydantic.BaseModel):
    part: str
    depth: int


class _ReportDocument(pydantic.BaseModel):
    incarnation: str = ''
    suspects: tuple[_SuspectDocument, ...] = ()
    completed: tuple[str, ...] = ()
    at: float


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
    return document.model_dump_json().encode()


def decode_report(name: str, body: bytes) -> PromptReport:
    """Decode a report's object.

    Raises:
        GuavadykeError: the body is not a valid report.
    """
    try:
        document = _ReportDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.internal,
            f'{name} on the platform is not a valid report: {error}',
        ) from error
    return PromptReport(
        at=document.at,
        incarnation=document.incarnation,
        suspects=tuple(
            Suspect(one.part, one.depth) for one in document.suspects
        ),
        completed=document.completed,
    )
