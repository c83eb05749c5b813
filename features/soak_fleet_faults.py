"""Faults of a soak that hit the fleet's engines and configuration."""

from __future__ import annotations

import functools
from collections.abc import Callable

from features.soak_fleet import SoakFleet
from features.soak_schedule import Fault

# Time between the removal of an engine's entry and the end of the engine.
_LEAVING_S = 5.0
_CRASHED_ENTRY_S = 0.5
_NESTING = 2000
_ODD_ENTRIES = (
    '[' * _NESTING + ']' * _NESTING,
    '{"Service": 1e999, "Address": "127.0.0.1:9"}',
    '{"Service": "huvo11a", "Address": "127.0.0.1:70000", "Slots": -1}',
)


class FleetFaults:
    """Changes engines and the configuration; nothing has to be ended.

    Args:
        fleet: the engines.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet

    def add_route(self, fault: Fault) -> Callable[[], None]:
        """Add a route to the configuration."""
        path = f'/added{len(self._fleet.history.routes)}/'
        # The time counts from the end of the write.
        self._fleet.history.routes[path] = float('inf')
        self._fleet.configure()
        self._fleet.history.routes[path] = self._fleet.now_s()
        return functools.partial(
            self._fleet.record, fault, self._fleet.now_s(), ()
        )

    def leave(self, fault: Fault) -> Callable[[], None]:
        """Remove the entry of an engine, which ends later."""
        engine = self._fleet.take_engine()
        self._fleet.store.remove('servers', engine.name)
        self._fleet.history.left[engine.name] = self._fleet.now_s()
        self._fleet.later(_LEAVING_S, engine.close)
        return functools.partial(
            self._fleet.record, fault, self._fleet.now_s(), ()
        )

    def crash(self, fault: Fault) -> Callable[[], None]:
        """End an engine; its entry is removed later."""
        engine = self._fleet.take_engine()
        self._fleet.end_engine(engine)
        self._fleet.later(
            _CRASHED_ENTRY_S, self._fleet.store.remove, 'servers', engine.name
        )
        return functools.partial(
            self._fleet.record, fault, self._fleet.now_s(), ()
        )

    def write_odd(self, fault: Fault) -> Callable[[], None]:
        """Write an entry among those of the engines that is none."""
        number = len(self._fleet.history.troubles)
        spec = _ODD_ENTRIES[number % len(_ODD_ENTRIES)]
        self._fleet.store.put_raw('servers', f'odd-{number}', spec)
        return functools.partial(
            self._fleet.record, fault, self._fleet.now_s(), ()
        )
