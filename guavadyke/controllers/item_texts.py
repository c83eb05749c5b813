"""Texts of the items of a host, which go on after them."""

from __future__ import annotations

from collections.abc import Mapping

from guavadyke.controllers.item_run import ItemKey
from guavadyke.controllers.text_handover import TextHandover
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import ForwardItem
from guavadyke.decisions.partial_texts import JobTexts, PartialText


class ItemTexts:
    """What is known of the texts of items, for the thread of the runner.

    Args:
        handover: carries texts between hosts.
    """

    def __init__(self, handover: TextHandover) -> None:
        self.handover = handover
        self._partials: dict[ItemKey, PartialText] = {}

    def of_item(self, key: ItemKey) -> PartialText:
        """Return the text of an item, which may be empty."""
        return self._partials.get(key, PartialText())

    def events_of(self, work: JobItemTracker, item: ForwardItem) -> int:
        """Return how many events an item of a job has by now."""
        return self.of_item((work.job.job_id, item.item_id)).last_id

    def of_job(self, work: JobItemTracker) -> JobTexts:
        """Return the texts of the open items of a job."""
        job_id = work.job.job_id
        item_ids = [state.item.item_id for state in work.open_items]
        return JobTexts(
            job_id,
            {item_id: self.of_item((job_id, item_id)) for item_id in item_ids},
        )

    def record(self, key: ItemKey, partial: PartialText) -> None:
        """Record the text of an item after a run."""
        self._partials[key] = partial

    def forget(self, key: ItemKey) -> None:
        """Forget the text of an item."""
        self._partials.pop(key, None)

    def receive(self, works: Mapping[str, JobItemTracker]) -> None:
        """Use the texts of these jobs that other hosts have sent.

        Items of which this host has a text of its own keep that.
        """
        for texts in self.handover.take(works):
            own = self.of_job(works[texts.job_id]).by_item
            self._partials.update(
                ((texts.job_id, item_id), text)
                for item_id, text in texts.by_item.items()
                if item_id in own and not own[item_id].last_id
            )
