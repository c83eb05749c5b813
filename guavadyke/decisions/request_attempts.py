"""What follows a failed attempt, and what the caller may be told."""

from __future__ import annotations

import dataclasses
import types

from guavadyke.adapters.ports import BackendFault
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.errors import ErrorCode, Run

# Refusals that one request meets before it is given up; each costs the time
# of one exchange with a backend server.
_MOST_REFUSALS = 6
_RETRY_AFTER_S = 1.0
_CODES = types.MappingProxyType({
    BackendFault.not_reached: ErrorCode.no_backend_server,
    BackendFault.refused: ErrorCode.overloaded,
    BackendFault.broken: ErrorCode.backend_failed,
    BackendFault.crossed: ErrorCode.backend_failed,
    BackendFault.silent: ErrorCode.backend_silent,
})


@dataclasses.dataclass
class RequestAttempts:
    """Attempts at one request so far.

    ``possible_runs`` counts those without proof that nothing ran;
    ``failed`` names the servers that are not tried again.
    """

    route: ForwardRoute
    possible_runs: int = 0
    refusals: int = 0
    failed: frozenset[str] = frozenset()
    last_fault: BackendFault | None = None

    @property
    def may_retry(self) -> bool:
        """Whether another attempt is allowed."""
        if self.refusals > _MOST_REFUSALS:
            return False
        return not self.possible_runs or self._allows(self.possible_runs)

    @property
    def may_retry_running(self) -> bool:
        """Whether another server may run what one is running now."""
        return self._allows(self.possible_runs + 1)

    def note(
        self,
        server_id: str,
        fault: BackendFault,
        *,
        not_run: bool,
    ) -> None:
        """Take a failed attempt."""
        self.failed |= {server_id}
        self.last_fault = fault
        if not_run:
            self.refusals += 1
        else:
            self.possible_runs += 1

    def final_code(self, wanted: ErrorCode | None = None) -> ErrorCode:
        """Return the code for a request that is given up.

        A code that promises that nothing ran needs proof for every attempt.
        """
        code = wanted or _CODES.get(
            self.last_fault or BackendFault.refused,
            ErrorCode.overloaded,
        )
        if self.possible_runs and code.run is Run.not_run:
            return ErrorCode.outcome_unknown
        return code

    def _allows(self, runs: int) -> bool:
        """Whether another run is allowed after so many."""
        return self.route.repeatable and runs < self.route.max_attempts


def retry_after_s(
    code: ErrorCode,
    retry_in_s: float | None = None,
) -> float | None:
    """Return when a refused caller may come back; None where it ran.

    Args:
        code: what the request ends with.
        retry_in_s: seconds until there is room, where they are known.
    """
    if code.status != ErrorCode.overloaded.status:
        return None
    return round(retry_in_s or _RETRY_AFTER_S, 2)
