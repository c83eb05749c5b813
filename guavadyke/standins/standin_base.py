"""Base class of all stand-ins: routing, faults, history, lifecycle."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeAlias

import pydantic

from guavadyke.errors import Finding, GuavadykeError
from guavadyke.settings import validation_findings
from guavadyke.standins.faults import FaultInjector, Faults
from guavadyke.standins.history import History
from guavadyke.standins.http import (
    StandinAnswer,
    StandinRequest,
    StandinServer,
    json_answer,
)

Action: TypeAlias = Callable[
    [StandinRequest, re.Match[str]],
    StandinAnswer | None,
]
_FROM_START = '0'


class Standin(Protocol):
    """A stand-in that can be started and closed."""

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        ...

    def start(self) -> None:
        """Serve in a background thread."""
        ...

    def wait(self) -> None:
        """Block until the stand-in is closed."""
        ...

    def close(self) -> None:
        """Stop immediately and reset every connection."""
        ...


def refusal(
    status: int,
    message: str,
    headers: Mapping[str, str] | None = None,
) -> StandinAnswer:
    """Return an error answer in the format of OpenAI's API."""
    return json_answer({'error': {'message': message}}, status, headers)


def findings_answer(findings: tuple[Finding, ...]) -> StandinAnswer:
    """Return a 400 that lists each invalid field and its error."""
    summary = '; '.join(
        f'{finding.place}: {finding.message}' for finding in findings
    )
    return refusal(400, summary)


class StandinBase(Generic[Faults]):
    """Routes requests and serves ``/standin/faults`` and ``/standin/history``.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults to begin with.
    """

    def __init__(self, ip: str, port: int, faults: Faults) -> None:
        self._fault_injector: FaultInjector[Faults] = FaultInjector(faults)
        self._history = History()
        self._routes: list[tuple[re.Pattern[str], Mapping[str, Action]]] = []
        self._route(r'/standin/faults', PUT=self._put_faults)
        self._route(r'/standin/history', GET=self._get_history)
        self._server = StandinServer(ip, port, self._handle)

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        return self._server.address

    @property
    def faults(self) -> Faults:
        """The current fault settings; can be assigned."""
        return self._fault_injector.current

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._fault_injector.replace_faults(faults)
        self._faults_changed()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._server.connections

    @property
    def history(self) -> History:
        """Record of the calls that this stand-in has received."""
        return self._history

    def start(self) -> None:
        """Serve in a background thread."""
        self._server.start()

    def wait(self) -> None:
        """Block until the stand-in is closed."""
        self._server.wait()

    def close(self) -> None:
        """Stop immediately and reset every connection."""
        self._server.close()

    def _route(self, pattern: str, **actions: Action) -> None:
        """Add a route.

        Args:
            pattern: regular expression for the whole path.
            actions: action by HTTP method; ``ANY`` matches every method.
        """
        self._routes.append((re.compile(pattern), actions))

    def _faults_changed(self) -> None:
        """Apply new fault settings; a subclass may override it."""

    def _handle(self, request: StandinRequest) -> StandinAnswer | None:
        for pattern, actions in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            action = actions.get(request.method) or actions.get('ANY')
            if action is None:
                return refusal(405, 'method not allowed')
            return self._run_action(action, request, match)
        return refusal(404, f'nothing at {request.path}')

    def _run_action(
        self,
        action: Action,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer | None:
        try:
            return action(request, match)
        except pydantic.ValidationError as error:
            return findings_answer(validation_findings(error))
        except GuavadykeError as error:
            return findings_answer(error.findings)
        except ValueError as error:
            return refusal(400, str(error))

    def _put_faults(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        model = type(self._fault_injector.current)
        self.faults = model.model_validate_json(request.body or b'{}')
        return json_answer(self._fault_injector.current.model_dump(mode='json'))

    def _get_history(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        after = int(request.query.get('after', _FROM_START))
        return json_answer(self._history.document(after))
