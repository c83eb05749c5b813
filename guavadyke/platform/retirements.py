"""Requests to empty a machine, as requests of the product."""

from __future__ import annotations

import pydantic

from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.retirement_controller import RetirementRequest
from guavadyke.log import EventLogger
from guavadyke.platform.store import ObjectStore

RETIREMENT_KIND = 'retirements'


class _Entry(pydantic.BaseModel):
    within_s: float = pydantic.Field(alias='DurationS', ge=0)


class RetirementDecoder:
    """Reads entries that ask for a machine to be emptied.

    Args:
        logger: told of entries that cannot be read.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> RetirementRequest | None:
        """Return the request; None where the entry holds none."""
        try:
            entry = _Entry.model_validate_json(stored.body)
        except pydantic.ValidationError as error:
            self._logger.warning(
                'retirement_unreadable',
                name=stored.name,
                reason=str(error),
            )
            return None
        return RetirementRequest(stored.name, entry.within_s)


class RetirementStatus:
    """Writes the end of a retirement.

    Args:
        store: the platform's store.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def __call__(self, host_id: str) -> None:
        """Write that the machine holds nothing any more.

        Raises:
            GuavadykeError: the platform does not take it.
        """
        self._store.write_status(
            RETIREMENT_KIND,
            host_id,
            {'State': 'completed'},
        )
