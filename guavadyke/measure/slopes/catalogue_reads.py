"""Platform reads of one host's catalogue watch, by number of objects."""

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
_RELIST_INTERVAL_S = 8
_SETTLE_S = 1.0
_POLL_INTERVAL_S = 0.02
_MAX_WAIT_S = 60
_HOST = 'entry-0'


class _CatalogueFollower:
    """A catalogue watch on a platform stand-in with a number of objects.

    Args:
        platform: the platform stand-in.
        count: number of objects to store before the watch starts.
        seed: seed of the watch's jitter.
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
            relist_interval_s=_RELIST_INTERVAL_S,
        )
        clock = SystemClock()
        rng = random.Random(seed)
        direct = HttpPlatformStore(settings, host_id=_HOST)
        store = WriteConfirmingStore(direct, clock, rng)
        for catalogue_object in objects(count):
            store.create(
                CATALOGUE_KIND,
                catalogue_object.name,
                encode_object(catalogue_object),
            )
        self._platform = platform
        self._offered_names: set[str] = set()
        self.count = len(objects(count))
        self.watch = CatalogueWatch(
            settings,
            store,
            self._record_offer,
            clock,
            rng,
            EventLogger(),
        )

    @property
    def complete(self) -> bool:
        """Whether the watch has reported every object."""
        return len(self._offered_names) >= self.count

    @property
    def read_count(self) -> int:
        """Number of list pages and single objects read so far."""
        counts = self._platform.counts
        return counts.get('list', 0) + counts.get('read', 0)

    def _record_offer(self, message: OfferedObjects | ObjectFault) -> None:
        if isinstance(message, OfferedObjects):
            self._offered_names.update(
                catalogue_object.name for catalogue_object in message.objects
            )


def start_reads(count: int, seed: int) -> float:
    """Return the reads of a new host until it has the whole catalogue."""
    with _following(count, seed) as follower:
        return follower.read_count


def relist_reads(count: int, seed: int) -> float:
    """Return the reads of one periodic relist of the whole catalogue."""
    with _following(count, seed) as follower:
        time.sleep(_SETTLE_S)
        before = follower.read_count
        _wait_until(lambda: follower.read_count > before)
        time.sleep(_SETTLE_S)
        return follower.read_count - before


@contextmanager
def _following(
    count: int,
    seed: int,
) -> Generator[_CatalogueFollower, None, None]:
    platform = PlatformStandin(ip=_LOOPBACK)
    platform.start()
    with closing(platform):
        follower = _CatalogueFollower(platform, count, seed)
        with closing(follower.watch):
            follower.watch.start()
            _wait_until(lambda: follower.complete)
            yield follower


def _wait_until(condition: Callable[[], bool]) -> None:
    timeout_at = time.monotonic() + _MAX_WAIT_S
    while not condition():
        if time.monotonic() > timeout_at:
            raise TimeoutError('the catalogue was not read in time')
        time.sleep(_POLL_INTERVAL_S)
