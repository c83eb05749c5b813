"""Retry policy of a forwarded request, and its final error code."""

from __future__ import annotations

import dataclasses
import types

from guavadyke.adapters.ports import BackendFault
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.errors import ErrorCode, RunStatus

# Maximum refusals of one request; each costs one round trip to a backend
# server.
_MAX_REFUSALS = 6
_DEFAULT_RETRY_AFTER_S = 1.0
_CODE_BY_FAULT = types.MappingProxyType({
    BackendFault.not_reached: ErrorCode.no_backend_server,
    BackendFault.refused: ErrorCode.overloaded,
    BackendFault.broken: ErrorCode.backend_failed,
    BackendFault.crossed: ErrorCode.backend_failed,
    BackendFault.silent: ErrorCode.backend_silent,
})


@dataclasses.dataclass
class RequestAttempts:
    """Failed attempts of one request.

    ``possible_runs`` counts attempts that a server may have run;
    ``refusals`` counts those that certainly did not run. ``failed`` holds
    the ids of the servers that are not tried again, unless they have only
    been silent, which ``left_silent`` holds, and no other one takes the
    request.
    """

    route: ForwardRoute
    possible_runs: int = 0
    refusals: int = 0
    failed: frozenset[str] = frozenset()
    left_silent: frozenset[str] = frozenset()
    last_fault: BackendFault | None = None

    @property
    def may_retry(self) -> bool:
        """Whether the request may be sent to another server."""
        if self.refusals > _MAX_REFUSALS:
            return False
        return not self.possible_runs or self._allows_another_run(
            self.possible_runs
        )

    @property
    def may_retry_running(self) -> bool:
        """Whether the request may be retried if the current attempt runs."""
        return self._allows_another_run(self.possible_runs + 1)

    def add_failure(
        self,
        server_id: str,
        fault: BackendFault,
        *,
        not_run: bool,
    ) -> None:
        """Record a failed attempt.

        Args:
            server_id: the server that was tried.
            fault: how the attempt failed.
            not_run: whether it is certain that the server ran nothing.
        """
        self.failed |= {server_id}
        self.last_fault = fault
        if not_run:
            self.refusals += 1
        else:
            self.possible_runs += 1

    def leave_silent(self, server_id: str) -> None:
        """Record that a server was left for its silence alone."""
        self.left_silent |= {server_id}

    def return_to_silent(self) -> None:
        """Let the servers that were left for their silence be tried again."""
        self.failed -= self.left_silent
        self.left_silent = frozenset()

    def final_code(self, wanted: ErrorCode | None = None) -> ErrorCode:
        """Return the error code of a request that is not retried.

        A code that tells the caller that nothing ran is replaced by
        ``outcome_unknown`` if any attempt may have run.

        Args:
            wanted: code to use instead of that of the last fault.
        """
        code = wanted or _CODE_BY_FAULT.get(
            self.last_fault or BackendFault.refused,
            ErrorCode.overloaded,
        )
        if self.possible_runs and code.run is RunStatus.not_run:
            return ErrorCode.outcome_unknown
        return code

    def _allows_another_run(self, runs: int) -> bool:
        """Return whether one more run is allowed after ``runs`` runs."""
        return self.route.repeatable and runs < self.route.max_attempts


def retry_after_s(
    code: ErrorCode,
    retry_in_s: float | None = None,
) -> float | None:
    """Return the value of the Retry-After header in seconds.

    Args:
        code: final error code of the request.
        retry_in_s: seconds until a slot is expected to be free, if known.

    Returns:
        None unless the code has the HTTP status of an overload and the same
        request may be served later.
    """
    if code.status != ErrorCode.overloaded.status:
        return None
    if code is ErrorCode.stream_not_resumable:
        return None
    return round(retry_in_s or _DEFAULT_RETRY_AFTER_S, 2)
