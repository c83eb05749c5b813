"""Errors with stable codes, and what each says about the caller's request."""

from __future__ import annotations

import dataclasses
import enum
import types
from collections.abc import Mapping


class RunStatus(enum.StrEnum):
    """Whether the request ran on a backend server."""

    not_run = 'not_run'
    ran = 'ran'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Finding:
    """One thing that is wrong with an input, and the place of it."""

    place: str
    message: str


class ErrorCode(enum.StrEnum):
    """Stable error codes.

    Each has an HTTP status and a meaning for the run; an error raised
    after dispatch overrides the latter.
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
        """HTTP status of answers with this code."""
        return _MEANINGS[self].status

    @property
    def run(self) -> RunStatus:
        """What the code says about the run unless the error overrides it."""
        return _MEANINGS[self].run


@dataclasses.dataclass(frozen=True)
class _CodeMeaning:
    status: int
    run: RunStatus


_MEANINGS: Mapping[ErrorCode, _CodeMeaning] = types.MappingProxyType({
    ErrorCode.bad_request: _CodeMeaning(400, RunStatus.not_run),
    ErrorCode.unauthenticated: _CodeMeaning(401, RunStatus.not_run),
    ErrorCode.forbidden: _CodeMeaning(403, RunStatus.not_run),
    ErrorCode.not_found: _CodeMeaning(404, RunStatus.not_run),
    ErrorCode.method_not_allowed: _CodeMeaning(405, RunStatus.not_run),
    ErrorCode.key_conflict: _CodeMeaning(409, RunStatus.not_run),
    ErrorCode.key_in_progress: _CodeMeaning(409, RunStatus.not_run),
    ErrorCode.version_conflict: _CodeMeaning(412, RunStatus.not_run),
    ErrorCode.too_large: _CodeMeaning(413, RunStatus.not_run),
    ErrorCode.limit_exceeded: _CodeMeaning(429, RunStatus.not_run),
    ErrorCode.overloaded: _CodeMeaning(503, RunStatus.not_run),
    ErrorCode.no_backend_server: _CodeMeaning(503, RunStatus.not_run),
    ErrorCode.platform_unavailable: _CodeMeaning(503, RunStatus.not_run),
    ErrorCode.stopping: _CodeMeaning(503, RunStatus.not_run),
    ErrorCode.not_ready: _CodeMeaning(503, RunStatus.not_run),
    ErrorCode.deadline_exceeded: _CodeMeaning(504, RunStatus.not_run),
    ErrorCode.backend_failed: _CodeMeaning(502, RunStatus.unknown),
    ErrorCode.backend_silent: _CodeMeaning(504, RunStatus.unknown),
    ErrorCode.outcome_unknown: _CodeMeaning(502, RunStatus.unknown),
    ErrorCode.backend_rejected: _CodeMeaning(422, RunStatus.ran),
    ErrorCode.settings_invalid: _CodeMeaning(500, RunStatus.not_run),
    ErrorCode.address_in_use: _CodeMeaning(500, RunStatus.not_run),
    ErrorCode.internal: _CodeMeaning(500, RunStatus.unknown),
})


class GuavadykeError(Exception):
    """An error that callers and operators see.

    Args:
        code: stable code.
        message: one sentence for a person.
        findings: everything that was wrong, with its place.
        run: overrides the code's meaning for the run.
        retry_after_s: seconds after which a retry makes sense.
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
    """The platform did not take the call; a write had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.platform_unavailable, message)


class PlatformOutcomeUnknownError(GuavadykeError):
    """The platform's answer was lost; a write may or may not have effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.outcome_unknown, message)


class ObjectConflictError(GuavadykeError):
    """A conditional write lost the race.

    Args:
        message: one sentence for a person.
        current_version: version the object has now; 0 when it is absent.
    """

    def __init__(self, message: str, current_version: int) -> None:
        super().__init__(ErrorCode.version_conflict, message)
        self.current_version = current_version
