"""Claims trials of quarantined parts of prompts on the platform."""

from __future__ import annotations

import dataclasses
import threading

from guavadyke import prompt_report_documents as documents
from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.prompt_trials import (
    PromptTrials,
    TrialClaim,
    WantedTrial,
)
from guavadyke.controllers.trial_runs import TRIAL_S, OwnClaim
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger

_IDLE_S = 1.0


class PromptTrialClaimer:
    """Writes the claims of this host from a thread.

    Args:
        host_id: the id of this host.
        trials: knows the trials that this host wants.
        store: the platform.
        clock: dates the claims.
        logger: logs claims, and those that could not be written.
    """

    def __init__(
        self,
        host_id: str,
        trials: PromptTrials,
        store: WriteConfirmingStore,
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._trials = trials
        self._store = store
        self._clock = clock
        self._logger = logger
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'prompt-trials', self._stopped, self._logger
        )

    def start(self) -> None:
        """Start claiming in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop claiming, without waiting for the thread."""
        self._stopped.set()

    def claim_wanted(self) -> None:
        """Claim the trials that this host wants now."""
        for wanted in iter(self._trials.next_wanted, None):
            self._claim(wanted)

    def renew_due(self) -> None:
        """Renew the claims of trials that run, where that is due."""
        for due in iter(self._trials.runs.next_renewal, None):
            self._renew(due)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._trials.wait(_IDLE_S)
            self.claim_wanted()
            self.renew_due()

    def _claim(self, wanted: WantedTrial) -> None:
        began_at = self._clock.monotonic()
        try:
            stored = self._write(wanted)
        except ObjectConflictError:
            self._logger.info('prompt_trial_claimed_before', part=wanted.part)
            self._trials.not_claimed(wanted.part)
            self._read_back(wanted)
        except GuavadykeError as error:
            self._log_failure(wanted, error)
            self._trials.not_claimed(wanted.part)
        except Exception as error:
            self._logger.error(
                'prompt_trial_not_claimed',
                part=wanted.part,
                reason=repr(error),
            )
            self._trials.not_claimed(wanted.part)
        else:
            self._logger.info('prompt_trial_claimed', part=wanted.part)
            self._trials.claimed(wanted.part, stored, began_at)

    def _renew(self, due: OwnClaim) -> None:
        began_at = self._clock.monotonic()
        wanted = WantedTrial(due.part, due.stored)
        try:
            stored = self._write(wanted)
        except ObjectConflictError:
            standing = self._read_back(wanted)
            if standing is None:
                self._logger.warning('prompt_trial_claim_lost', part=due.part)
            self._trials.runs.not_renewed(
                dataclasses.replace(due, stored=standing or due.stored),
                lost=standing is None,
            )
        except Exception as error:
            self._logger.warning(
                'prompt_trial_not_renewed', part=due.part, reason=repr(error)
            )
            self._trials.runs.not_renewed(due, lost=False)
        else:
            self._trials.runs.renewed(
                OwnClaim(due.part, stored, began_at + TRIAL_S)
            )
            self._trials.learn(
                TrialClaim(due.part, self._host_id, self._clock.wall()), stored
            )

    def _read_back(self, wanted: WantedTrial) -> StoredObject | None:
        """Learn the claim that stands, of which no watch may tell again.

        Returns:
            The claim if it is this host's own, which an earlier write that
            was not recorded may have left.
        """
        name = documents.claim_name(wanted.part)
        try:
            stored = self._store.read(documents.REPORT_KIND, name)
            claim = stored and documents.decode_report(name, stored.body)
        except GuavadykeError as error:
            self._log_failure(wanted, error)
            return None
        if stored is None:
            self._trials.forget(name)
        elif isinstance(claim, TrialClaim):
            self._trials.learn(claim, stored)
            return stored if claim.host_id == self._host_id else None
        return None

    def _log_failure(self, wanted: WantedTrial, error: GuavadykeError) -> None:
        self._logger.warning(
            'prompt_trial_not_claimed',
            part=wanted.part,
            reason=error.message,
        )

    def _write(self, wanted: WantedTrial) -> StoredObject:
        body = documents.encode_claim(
            TrialClaim(wanted.part, self._host_id, self._clock.wall())
        )
        if wanted.previous is None:
            return self._store.create(
                documents.REPORT_KIND, documents.claim_name(wanted.part), body
            )
        return self._store.update(wanted.previous, body)
