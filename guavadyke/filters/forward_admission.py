"""Finds the backend server to which a request may be sent now."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from guavadyke.adapters.ports import BackendFault
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.load_shedding import longest_wait_s
from guavadyke.decisions.prompt_quarantine import Quarantine, is_whole_request
from guavadyke.decisions.request_attempts import RequestAttempts
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.errors import ErrorCode
from guavadyke.filters.forward_attempt import ForwardRequest, ForwardTools

# Longest wait of a request for the platform to confirm its claim to try a
# quarantined part. It takes one write, and later callers are not held up.
_LONGEST_CLAIM_S = 0.25


def _no_estimate() -> None:
    """Return that nothing is known of when a caller should retry."""


class AdmissionRefusedError(Exception):
    """A request must not be sent to any server now.

    Args:
        code: the error code; None if it follows from failed attempts.
        message: human-readable description.
        estimate_retry_s: returns the seconds after which the caller should
            retry, None if not known; it reserves that time for the caller.
    """

    def __init__(
        self,
        code: ErrorCode | None,
        message: str,
        estimate_retry_s: Callable[[], float | None] = _no_estimate,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.estimate_retry_s = estimate_retry_s


class ServerAdmission:
    """Reserves servers for the attempts of one request.

    ``service`` is the service that has to serve it; ``software`` is the
    software version that has begun its stream, None for any.

    Args:
        request: the request.
        route: the route that the request matched.
        tools: settings, clock and services that all requests share.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        tools: ForwardTools,
    ) -> None:
        self._request = request
        self._route = route
        self._tools = tools
        self.service = route.service_of(request.stream_id)
        self.software: str | None = None

    def acquire(
        self,
        failed: frozenset[str],
        remaining_s: float,
        *,
        may_be_refused: bool = True,
    ) -> ServerLease:
        """Reserve the best server that takes the request now.

        Args:
            failed: ids of servers that are not tried again.
            remaining_s: seconds until the request's deadline.
            may_be_refused: whether the request surely has not run. Otherwise
                it is lost unless it queues, for as long as is left.

        Raises:
            AdmissionRefusedError: there is none.
        """
        self._check_prompt()
        excluded = failed | self._tools.limits.exhausted().keys()
        while True:
            lease = self._tools.pool.acquire_online(
                self.service,
                excluded,
                self._request.prompt_key or self._request.request_id,
                self.software,
                self._request.size,
            )
            if lease is None:
                raise self._no_server_error(failed)
            self._check_wait(
                lease,
                self._longest_wait_s(remaining_s)
                if may_be_refused
                else remaining_s,
            )
            if self._tools.limits.admit(lease.server):
                self._begin(lease)
                return lease
            self._tools.pool.release(lease, BackendFault.refused)
            excluded |= {lease.server.server_id}

    def acquire_next(
        self,
        attempts: RequestAttempts,
        remaining_s: float,
        *,
        may_be_refused: bool,
    ) -> ServerLease:
        """Reserve a server that has not failed, or was left for its silence.

        Args:
            attempts: the failed attempts.
            remaining_s: seconds until the request's deadline.
            may_be_refused: whether the request surely has not run.

        Raises:
            AdmissionRefusedError: there is none.
        """
        self._await_trial(remaining_s)
        if attempts.left_silent:
            with contextlib.suppress(AdmissionRefusedError):
                return self.acquire(
                    attempts.failed, remaining_s, may_be_refused=may_be_refused
                )
            attempts.return_to_silent()
        return self.acquire(
            attempts.failed, remaining_s, may_be_refused=may_be_refused
        )

    def has_any(self, failed: frozenset[str]) -> bool:
        """Return whether any server but the failed ones is listed."""
        return self._tools.pool.others.has_any(
            self.service, failed, self.software
        )

    def _check_prompt(self) -> None:
        """Refuse a prompt that has crashed servers, unless it may be tried.

        Raises:
            AdmissionRefusedError: ``prompt_quarantined``, with the time after
                which a part of the prompt is tried again.
        """
        prompts = self._tools.prompts
        found = prompts.check(self._request.suspect_parts)
        if found is not None and not prompts.trials.allows(found):
            raise _quarantine_error(found)

    def _await_trial(self, remaining_s: float) -> None:
        """Wait for a claim to try the prompt, if a trial of it is due."""
        prompts = self._tools.prompts
        found = prompts.check(self._request.suspect_parts)
        if found is not None:
            prompts.trials.await_claim(
                found, min(_LONGEST_CLAIM_S, remaining_s)
            )

    def _begin(self, lease: ServerLease) -> None:
        """Spend the claim to try a quarantined part.

        Raises:
            AdmissionRefusedError: ``prompt_quarantined``, another request has
                spent it; the lease has been released.
        """
        prompts = self._tools.prompts
        found = prompts.check(self._request.suspect_parts)
        if found is not None and not prompts.trials.begins(found, lease):
            self._tools.pool.release(lease, BackendFault.refused)
            raise _quarantine_error(found)

    def _longest_wait_s(self, remaining_s: float) -> float:
        return longest_wait_s(
            self._route,
            remaining_s,
            self._tools.settings.longest_wait_s,
        )

    def _check_wait(self, lease: ServerLease, longest_s: float) -> None:
        """Refuse a request that would wait too long at the server.

        Raises:
            AdmissionRefusedError: ``overloaded``, with the time after which
                the caller should retry.
        """
        pool = self._tools.pool
        wait_s = pool.wait_estimator.estimate_wait_s(lease)
        if wait_s > longest_s:
            pool.release(lease, BackendFault.refused)
            raise AdmissionRefusedError(
                ErrorCode.overloaded,
                f'every backend server of {self.service} has too long a '
                f'queue: {wait_s:.2f} s, the maximum is {longest_s:.2f} s',
                lambda: pool.wait_estimator.estimate_retry_after_s(
                    lease, wait_s - longest_s
                ),
            )

    def _no_server_error(self, failed: frozenset[str]) -> AdmissionRefusedError:
        """Return the error of a request for which there is no server."""
        waits = self._tools.limits.exhausted().values()
        if waits:
            return AdmissionRefusedError(
                ErrorCode.overloaded,
                f'the backend servers of {self.service} take no more '
                'requests now',
                lambda: min(waits),
            )
        code = (
            ErrorCode.no_backend_server
            if self.software is None
            else ErrorCode.stream_not_resumable
        )
        return AdmissionRefusedError(
            None if failed else code,
            f'no backend server of {self.service} '
            f'{_describe_version(self.software)}accepts requests',
        )


def _quarantine_error(found: Quarantine) -> AdmissionRefusedError:
    return AdmissionRefusedError(
        ErrorCode.prompt_quarantined,
        f'{found.crashes} backend servers have ended under '
        f'{_describe(found.part)}',
        lambda: found.trial_in_s,
    )


def _describe_version(software: str | None) -> str:
    return '' if software is None else f'with version {software} '


def _describe(part: str) -> str:
    if is_whole_request(part):
        return f'this request, {part}'
    return f'requests with the prompt part {part}'
