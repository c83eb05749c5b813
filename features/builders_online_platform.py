"""An in-memory platform with planned faults, and a manual clock."""

from __future__ import annotations

from typing import Any

from guavadyke.adapters.ports import StoredObject
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)


class FakeClock:
    """A clock that advances only in ``sleep``."""

    def __init__(self) -> None:
        self._now = 1000.0

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def sleep(self, seconds: float) -> None:
        self._now += seconds


class FaultyObjects:
    """Objects with conditional writes.

    ``plan`` is the outcome of each of the next calls: ``ok``, ``away``,
    ``lost_request`` or ``lost_answer``. Later calls succeed.
    """

    def __init__(self) -> None:
        self.plan: list[str] = []
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._revision = 0

    def read(self, kind: str, name: str) -> StoredObject | None:
        if self._fault() != 'ok':
            raise PlatformUnavailableError('the platform is unavailable')
        return self._objects.get((kind, name))

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        return self._write(kind, name, body, 0)

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        return self._write(kind, name, body, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        self._write(kind, name, None, version)

    def _fault(self) -> str:
        return self.plan.pop(0) if self.plan else 'ok'

    def _write(
        self,
        kind: str,
        name: str,
        body: bytes | None,
        version: int,
    ) -> Any:
        fault = self._fault()
        if fault == 'away':
            raise PlatformUnavailableError('the platform is unavailable')
        if fault == 'lost_request':
            raise PlatformOutcomeUnknownError('the request was lost')
        stored = self._objects.get((kind, name))
        current = stored.version if stored else 0
        if current != version:
            raise ObjectConflictError('another version', current)
        self._revision += 1
        if body is None:
            self._objects.pop((kind, name))
        else:
            stored = StoredObject(kind, name, self._revision, body)
            self._objects[kind, name] = stored
        if fault == 'lost_answer':
            raise PlatformOutcomeUnknownError('the answer was lost')
        return stored
