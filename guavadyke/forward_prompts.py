"""Prompts that crash backend servers: what a host learns and reports."""

from __future__ import annotations

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.mirror import MirrorSettings
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.prompt_report_sender import PromptReportSender
from guavadyke.controllers.prompt_report_sink import PromptReportSink
from guavadyke.controllers.prompt_trial_claimer import PromptTrialClaimer
from guavadyke.decisions.watch_sharing import watch_times
from guavadyke.log import EventLogger
from guavadyke.prompt_report_documents import REPORT_KIND
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Collects the reports of several hosts on the same server.
_WATCH_DELAY_S = 0.02


class ForwardPrompts:
    """The prompt guard of a host and its reports on the platform.

    ``guard`` decides which requests may be sent; ``sender`` writes its reports
    and ``claimer`` its claims to try quarantined parts; ``sink`` gets those of
    all hosts, mirrored as ``mirror_settings`` say.

    Args:
        settings: the id of the host and the waits of its watches.
        store: the platform.
        fleet: the other hosts.
        clock: the host's clock.
        logger: logs what is learned and what cannot be written.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.guard = PromptGuard(settings.host_id, fleet, clock, logger)
        self.sink = PromptReportSink(self.guard, logger)
        self.mirror_settings = MirrorSettings(
            REPORT_KIND,
            watch_times(settings.platform.freshness_s).wait_s,
            _WATCH_DELAY_S,
        )
        self.sender = PromptReportSender(
            settings.host_id, self.guard, self.sink, store, fleet, logger
        )

        self.claimer = PromptTrialClaimer(
            settings.host_id, self.guard.trials, store, clock, logger
        )

    def start(self) -> None:
        """Start to report and to claim in the background."""
        self.sender.start()
        self.claimer.start()

    def close(self) -> None:
        """Stop reporting and claiming."""
        self.sender.close()
        self.claimer.close()
