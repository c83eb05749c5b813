"""Requests to drain a host: decoding them, and reporting completion."""

from __future__ import annotations

import pydantic

from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.retirement_controller import RetirementRequest
from guavadyke.log import EventLogger
from guavadyke.platform.store import ObjectStore

RETIREMENT_KIND = 'retirements'
_COMPLETED = 'completed'


class _RetirementEntry(pydantic.BaseModel):
    # DurationS is the time allowed for draining the host.
    within_s: float = pydantic.Field(alias='DurationS', ge=0)


class RetirementDecoder:
    """Decodes entries that request that a host be drained.

    Args:
        logger: logs entries that are not valid.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> RetirementRequest | None:
        """Return the request, or None if the entry is not valid."""
        try:
            entry = _RetirementEntry.model_validate_json(stored.body)
        except pydantic.ValidationError as error:
            self._logger.warning(
                'retirement_unreadable',
                name=stored.name,
                reason=str(error),
            )
            return None
        return RetirementRequest(stored.name, entry.within_s)


class RetirementStatus:
    """Reports on the platform that a host has been drained.

    Args:
        store: the platform's store.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def __call__(self, host_id: str) -> None:
        """Set the status of the host's retirement to completed.

        Raises:
            GuavadykeError: the platform rejected the write or did not
                answer.
        """
        self._store.write_status(
            RETIREMENT_KIND,
            host_id,
            {'State': _COMPLETED},
        )

    def is_completed(self, host_id: str) -> bool:
        """Return whether the status of a host's retirement is completed.

        Raises:
            GuavadykeError: the platform did not answer.
        """
        status = self._store.read_status(RETIREMENT_KIND, host_id)
        return status.get('State') == _COMPLETED
