"""Reads of one host that follows the catalogue, by its objects."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Generator
from contextlib import closing, contextmanager

from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue_objects import CATALOGUE_KIND, encode_object
from guavadyke.controllers.catalogue import ObjectFault, OfferedObjects
from guavadyke.controllers.catalogue_watch import CatalogueWatch
from guavadyke.log import EventLogger
from guavadyke.measure.slopes.catalogue import objects
from guavadyke.settings import PlatformSettings
from guavadyke.standins.platform import PlatformStandin

SIZES = (250, 500, 1000, 2000)
_LOOPBACK = '127.0.0.1'
_WATCH_WAIT_S = 0.2
_RELIST_S = 8
_SETTLE_S = 1.0
_LOOK_INTERVAL_S = 0.02
_LONGEST_S = 60
_HOST = 'entry-0'


class _Follower:
    """A catalogue watch over a platform that holds some objects.

    Args:
        platform: the platform stand-in.
        count: objects to put.
        seed: seeds the watch's jitter.
    """

    def __init__(
        self,
        platform: PlatformStandin,
        count: int,
        seed: int,
    ) -> None:
        settings = PlatformSettings(
            url=f'http://{platform.address}',
            watch_wait_s=_WATCH_WAIT_S,
            relist_interval_s=_RELIST_S,
        )
        clock = SystemClock()
        rng = random.Random(seed)
        direct = HttpPlatformStore(settings, host_id=_HOST)
        store = WriteConfirmingStore(direct, clock, rng)
        for one in objects(count):
            store.create(CATALOGUE_KIND, one.name, encode_object(one))
        self._platform = platform
        self._known: set[str] = set()
        self.count = len(objects(count))
        self.watch = CatalogueWatch(
            settings,
            store,
            self._take,
            clock,
            rng,
            EventLogger(),
        )

    @property
    def complete(self) -> bool:
        """Whether every object has been offered."""
        return len(self._known) >= self.count

    @property
    def lists(self) -> int:
        """Pages and objects that were read."""
        counts = self._platform.counts
        return counts.get('list', 0) + counts.get('read', 0)

    def _take(self, told: OfferedObjects | ObjectFault) -> None:
        if isinstance(told, OfferedObjects):
            self._known.update(one.name for one in told.objects)


def start_reads(count: int, seed: int) -> float:
    """Return the reads of a new host until it has the catalogue."""
    with _following(count, seed) as follower:
        return follower.lists


def relist_reads(count: int, seed: int) -> float:
    """Return the reads of one full list of a host that has it."""
    with _following(count, seed) as follower:
        time.sleep(_SETTLE_S)
        before = follower.lists
        _wait(lambda: follower.lists > before)
        time.sleep(_SETTLE_S)
        return follower.lists - before


@contextmanager
def _following(
    count: int,
    seed: int,
) -> Generator[_Follower, None, None]:
    platform = PlatformStandin(ip=_LOOPBACK)
    platform.start()
    with closing(platform):
        follower = _Follower(platform, count, seed)
        with closing(follower.watch):
            follower.watch.start()
            _wait(lambda: follower.complete)
            yield follower


def _wait(holds: Callable[[], bool]) -> None:
    until = time.monotonic() + _LONGEST_S
    while not holds():
        if time.monotonic() > until:
            raise TimeoutError('the catalogue was not read in time')
        time.sleep(_LOOK_INTERVAL_S)
