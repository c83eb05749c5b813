"""Encodes and decodes the texts of a job's items as Thrift structs."""

from __future__ import annotations

from typing import Any

from guavadyke.decisions.partial_texts import JobTexts, PartialText
from guavadyke.peer.generated.messages import ttypes


def job_texts_to_struct(texts: JobTexts) -> Any:
    """Return the texts as a Thrift struct."""
    return ttypes.PartialTexts(
        job_id=texts.job_id,
        texts=[
            ttypes.PartialText(
                item_id=item_id,
                software=text.software,
                events=list(text.pieces),
            )
            for item_id, text in texts.by_item.items()
        ],
    )


def job_texts_from_struct(struct: Any) -> JobTexts:
    """Return the texts; the ids of their events rise by 1 from 1 on."""
    return JobTexts(
        str(struct.job_id),
        {
            str(text.item_id): PartialText(
                len(text.events), tuple(text.events), str(text.software)
            )
            for text in struct.texts
        },
    )
