"""Configurations as operators write them."""

from __future__ import annotations

import copy
import json
from typing import Any

FIRST_KEY = 'sk-ponderous-otter-17'
SECOND_KEY = 'sk-lucid-heron-29'


def document() -> dict[str, Any]:
    """Return a configuration in which nothing is found."""
    return {
        'Version': 7,
        'Routes': [
            {
                'Name': 'replies',
                'Host': 'reports.example',
                'PathPrefix': '/reply/',
                'Kind': 'streaming',
                'TimeoutMs': 9000,
                'TargetLatencyMs': 400,
                'Service': 'puddles',
                'MaxAttempts': 2,
                'Resumable': True,
            },
            {
                'Name': 'nightly',
                'Host': 'reports.example',
                'PathPrefix': '/nightly/',
                'Kind': 'batch',
                'TargetCompleteMs': 60_000,
                'MaxWaitS': 120,
                'TrafficSplit': [
                    {'Service': 'puddles', 'Weight': 3},
                    {'Service': 'ponds', 'Weight': 1},
                ],
            },
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 1_048_576,
            'IdleTimeoutMs': 30_000,
        },
        'Services': [{'Name': 'puddles'}, {'Name': 'ponds'}],
        'Tenants': [
            {
                'Name': 'amphibians',
                'ApiKeys': [FIRST_KEY],
                'RatePerS': 20,
                'Burst': 5,
            },
            {'Name': 'waders', 'ApiKeys': [SECOND_KEY]},
        ],
    }


def changed(place: str, text: str) -> dict[str, Any]:
    """Return the configuration with another value at a place.

    Args:
        place: names and positions with dots between them; a position beyond
            the end of a list adds to it.
        text: the value as JSON; ``KEY`` stands for the key of the first team,
            and ``absent`` removes the field.
    """
    whole = copy.deepcopy(document())
    *way, last = (
        int(part) if part.isdecimal() else part for part in place.split('.')
    )
    holder: Any = whole
    for part in way:
        holder = holder[part]
    if text == 'absent':
        holder.pop(last)
        return whole
    value = json.loads(text.replace('KEY', json.dumps(FIRST_KEY)))
    if isinstance(holder, list) and last >= len(holder):
        holder.append(value)
    else:
        holder[last] = value
    return whole
