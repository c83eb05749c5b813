"""Whether this host may serve requests under the keys that it knows."""

from __future__ import annotations

import threading

from guavadyke.controllers.mirror import Mirror
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.key_revocation import longest_age_s
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import PlatformSettings
from guavadyke.snapshots import SnapshotCell

# A host that is in contact with the platform makes about one watch in this
# time, after which it trusts its keys again.
_RETRY_AFTER_S = 1.0


class KeyTrust:
    """Trusts keys while the known configuration is recent. Thread-safe.

    Args:
        settings: bounds on the age of the configuration.
        table: the configuration in force.
        mirror: mirrors the configuration.
        metrics: counts the refused requests.
        logger: logs when trust ends and begins again.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        table: SnapshotCell[RouteTable],
        mirror: Mirror,
        metrics: HostMetrics,
        logger: EventLogger,
    ) -> None:
        self._strict = settings.revocation_s > 0
        self._longest_age_s = longest_age_s(
            settings.revocation_s, settings.freshness_s
        )
        self._table = table
        self._mirror = mirror
        self._metrics = metrics
        self._logger = logger
        self._lock = threading.Lock()
        self._trusted = True

    @property
    def trusted(self) -> bool:
        """Whether requests under keys may be served now."""
        if not self._strict:
            return True
        with self._lock:
            age_s = self._mirror.age_s
            trusted = (
                age_s <= self._longest_age_s or not self._table.current.teams
            )
            changed = trusted is not self._trusted
            self._trusted = trusted
        if changed:
            self._log_change(age_s, trusted=trusted)
        return trusted

    def check(self) -> None:
        """Refuse a request under a key that may have been removed.

        Raises:
            GuavadykeError: ``not_ready``, the configuration may be too old.
        """
        if not self.trusted:
            self._metrics.increment('refused_keys_not_trusted')
            raise GuavadykeError(
                ErrorCode.not_ready,
                'the configuration known here may be too old to tell which '
                'keys are valid',
                retry_after_s=_RETRY_AFTER_S,
            )

    def _log_change(self, age_s: float, *, trusted: bool) -> None:
        self._logger.warning(
            'keys_trusted' if trusted else 'keys_not_trusted',
            age_s=round(age_s, 3),
            longest_age_s=round(self._longest_age_s, 3),
        )
