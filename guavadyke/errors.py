"""Errors with stable codes, and whether the failed request may have run."""

from __future__ import annotations

import dataclasses
import enum
import types
from collections.abc import Mapping


class RunStatus(enum.StrEnum):
    """Whether a failed request ran on a backend server."""

    not_run = 'not_run'
    ran = 'ran'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Finding:
    """One fault in an input.

    ``place`` is a JSON path, a header or another part of the request.
    """

    place: str
    message: str


class ErrorCode(enum.StrEnum):
    """Stable error codes.

    Each has an HTTP status and a default ``run`` value, which an error that
    is raised after dispatch overrides.
    """

    bad_request = 'bad_request'
    unauthenticated = 'unauthenticated'
    forbidden = 'forbidden'
    not_found = 'not_found'
    method_not_allowed = 'method_not_allowed'
    key_conflict = 'key_conflict'
    key_in_progress = 'key_in_progress'
    version_conflict = 'version_conflict'
    too_large = 'too_large'
    limit_exceeded = 'limit_exceeded'
    overloaded = 'overloaded'
    no_backend_server = 'no_backend_server'
    prompt_quarantined = 'prompt_quarantined'
    stream_not_resumable = 'stream_not_resumable'
    platform_unavailable = 'platform_unavailable'
    stopping = 'stopping'
    not_ready = 'not_ready'
    deadline_exceeded = 'deadline_exceeded'
    backend_failed = 'backend_failed'
    backend_silent = 'backend_silent'
    outcome_unknown = 'outcome_unknown'
    backend_rejected = 'backend_rejected'
    settings_invalid = 'settings_invalid'
    address_in_use = 'address_in_use'
    internal = 'internal'

    @property
    def status(self) -> int:
        """HTTP status of an answer with this code."""
        return _PROPERTIES_BY_CODE[self].status

    @property
    def run(self) -> RunStatus:
        """Whether the request ran, unless the error overrides it."""
        return _PROPERTIES_BY_CODE[self].run


@dataclasses.dataclass(frozen=True)
class _CodeProperties:
    status: int
    run: RunStatus


_PROPERTIES_BY_CODE: Mapping[ErrorCode, _CodeProperties] = (
    types.MappingProxyType({
        ErrorCode.bad_request: _CodeProperties(400, RunStatus.not_run),
        ErrorCode.unauthenticated: _CodeProperties(401, RunStatus.not_run),
        ErrorCode.forbidden: _CodeProperties(403, RunStatus.not_run),
        ErrorCode.not_found: _CodeProperties(404, RunStatus.not_run),
        ErrorCode.method_not_allowed: _CodeProperties(405, RunStatus.not_run),
        ErrorCode.key_conflict: _CodeProperties(409, RunStatus.not_run),
        ErrorCode.key_in_progress: _CodeProperties(409, RunStatus.not_run),
        ErrorCode.version_conflict: _CodeProperties(412, RunStatus.not_run),
        ErrorCode.too_large: _CodeProperties(413, RunStatus.not_run),
        ErrorCode.limit_exceeded: _CodeProperties(429, RunStatus.not_run),
        ErrorCode.overloaded: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.no_backend_server: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.prompt_quarantined: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.stream_not_resumable: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.platform_unavailable: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.stopping: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.not_ready: _CodeProperties(503, RunStatus.not_run),
        ErrorCode.deadline_exceeded: _CodeProperties(504, RunStatus.not_run),
        ErrorCode.backend_failed: _CodeProperties(502, RunStatus.unknown),
        ErrorCode.backend_silent: _CodeProperties(504, RunStatus.unknown),
        ErrorCode.outcome_unknown: _CodeProperties(502, RunStatus.unknown),
        ErrorCode.backend_rejected: _CodeProperties(422, RunStatus.ran),
        ErrorCode.settings_invalid: _CodeProperties(500, RunStatus.not_run),
        ErrorCode.address_in_use: _CodeProperties(500, RunStatus.not_run),
        ErrorCode.internal: _CodeProperties(500, RunStatus.unknown),
    })
)


class GuavadykeError(Exception):
    """An error that is reported to callers and operators.

    Args:
        code: stable code.
        message: one human-readable sentence.
        findings: every fault that was found in the input.
        run: whether the request ran; the code's default if None.
        retry_after_s: seconds to wait before a retry; None gives no advice.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        findings: tuple[Finding, ...] = (),
        run: RunStatus | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.findings = findings
        self.run = run or code.run
        self.retry_after_s = retry_after_s


class PlatformUnavailableError(GuavadykeError):
    """The platform did not execute the call, so a write had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.platform_unavailable, message)


class PlatformOutcomeUnknownError(GuavadykeError):
    """The platform's answer was lost, so a write may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.outcome_unknown, message)


class ObjectConflictError(GuavadykeError):
    """A conditional write failed since the object has another version.

    Args:
        message: one human-readable sentence.
        current_version: the object's version; 0 if it does not exist.
    """

    def __init__(self, message: str, current_version: int) -> None:
        super().__init__(ErrorCode.version_conflict, message)
        self.current_version = current_version
