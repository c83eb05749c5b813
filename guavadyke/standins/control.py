"""The part that every stand-in has: faults, history, start and end."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeAlias

import pydantic

from guavadyke.errors import Finding, GuavadykeError
from guavadyke.settings import findings_of
from guavadyke.standins.faults import FaultBoard, Faults
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
_NONE_AFTER = '0'


class Standin(Protocol):
    """A stand-in that runs in the background."""

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        ...

    def start(self) -> None:
        """Serve in the background."""
        ...

    def wait(self) -> None:
        """Block until the stand-in is closed."""
        ...

    def close(self) -> None:
        """Stop at once and reset every connection."""
        ...


def refusal(
    status: int,
    message: str,
    headers: Mapping[str, str] | None = None,
) -> StandinAnswer:
    """Return an error in the shape that OpenAI's API uses."""
    return json_answer({'error': {'message': message}}, status, headers)


def findings_answer(findings: tuple[Finding, ...]) -> StandinAnswer:
    """Return a 400 that lists what was wrong."""
    places = '; '.join(f'{one.place}: {one.message}' for one in findings)
    return refusal(400, places)


class StandinBase(Generic[Faults]):
    """Routes requests and answers those that every stand-in takes.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults from the start.
    """

    def __init__(self, ip: str, port: int, faults: Faults) -> None:
        self._board: FaultBoard[Faults] = FaultBoard(faults)
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
        """The faults in force; may be set."""
        return self._board.current

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._board.put(faults)
        self._faults_changed()

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return self._server.connections

    @property
    def history(self) -> History:
        """What this stand-in did."""
        return self._history

    def start(self) -> None:
        """Serve in the background."""
        self._server.start()

    def wait(self) -> None:
        """Block until the stand-in is closed."""
        self._server.wait()

    def close(self) -> None:
        """Stop at once and reset every connection."""
        self._server.close()

    def _route(self, pattern: str, **actions: Action) -> None:
        """Answer a path; ``ANY`` stands for every method."""
        self._routes.append((re.compile(pattern), actions))

    def _faults_changed(self) -> None:
        """Act on new faults."""

    def _handle(self, request: StandinRequest) -> StandinAnswer | None:
        for pattern, actions in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            action = actions.get(request.method) or actions.get('ANY')
            if action is None:
                return refusal(405, 'method not allowed')
            return self._guarded(action, request, match)
        return refusal(404, f'nothing at {request.path}')

    def _guarded(
        self,
        action: Action,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer | None:
        try:
            return action(request, match)
        except pydantic.ValidationError as error:
            return findings_answer(findings_of(error))
        except GuavadykeError as error:
            return findings_answer(error.findings)
        except ValueError as error:
            return refusal(400, str(error))

    def _put_faults(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        model = type(self._board.current)
        self.faults = model.model_validate_json(request.body or b'{}')
        return json_answer(self._board.current.model_dump(mode='json'))

    def _get_history(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        after = int(request.query.get('after', _NONE_AFTER))
        return json_answer(self._history.document(after))
