"""What the users' requests and items state of their size."""

from __future__ import annotations

from collections.abc import Mapping

from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.request_cost import RequestSize
from guavadyke.decisions.teams import Team

PROMPT_PREFIX_HEADER = 'prompt-prefix'
_COUNTS_HEADER = 'token-counts'
_LENGTH_HINT_HEADER = 'length-hint'
# Numbers above this are taken for faults of the caller and not used.
_MAX_TOKENS = 10_000_000


def stated_size(
    headers: Mapping[str, str], route: ForwardRoute, team: Team | None
) -> RequestSize:
    """Return what headers state of a request's size.

    What cannot be read counts as not stated: it is forwarded and only makes
    the estimate less exact.

    Args:
        headers: the headers by lower-case name.
        route: the route of the request.
        team: the team of the request, None for none.
    """
    counts = headers.get(_COUNTS_HEADER, '').split(',')
    prompt, maximum = map(_tokens, counts) if len(counts) == 2 else (0, 0)
    return RequestSize(
        prompt_tokens=prompt,
        max_output_tokens=maximum,
        output_hint=_tokens(headers.get(_LENGTH_HINT_HEADER, '')),
        parts=tuple(
            (part, _tokens(tokens))
            for part, tokens in shared_prompt_parts(
                headers.get(PROMPT_PREFIX_HEADER, '')
            )
        ),
        route=route.name,
        team='' if team is None else team.name,
    )


def shared_prompt_parts(text: str) -> tuple[tuple[str, str], ...]:
    """Return the parts that a prompt may share with others: ids and tokens.

    The header lists the parts of the prompt as ID:TOKENS; the last part
    belongs to this prompt alone.
    """
    *shared, _own = text.split(',')
    entries = (entry.partition(':') for entry in shared)
    return tuple(
        (name.strip(), tokens)
        for name, _colon, tokens in entries
        if name.strip()
    )


def shared_prompt_part_ids(text: str) -> tuple[str, ...]:
    """Return the ids of the parts that a prompt may share with others."""
    return tuple(part for part, _tokens_of in shared_prompt_parts(text))


def _tokens(text: str) -> int:
    stated = text.strip()
    if not stated.isdecimal() or len(stated) > len(str(_MAX_TOKENS)):
        return 0
    return min(int(stated), _MAX_TOKENS)
