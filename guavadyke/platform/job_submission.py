"""Jobs as the users' callers submit them."""

from __future__ import annotations

import base64
import dataclasses
from collections.abc import Mapping
from typing import Annotated

import pydantic

from guavadyke.decisions.forward_job_records import ForwardItem
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.request_headers import (
    VISIBLE_TEXT,
    end_to_end_headers,
    header_defects,
    without_headers,
)
from guavadyke.decisions.teams import Team
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.platform.engine_adapter import (
    END_TO_END_HEADERS,
    MANAGED_HEADERS,
    TEAM_HEADERS,
    team_headers,
)
from guavadyke.platform.request_size import (
    PROMPT_PREFIX_HEADER,
    shared_prompt_part_ids,
    stated_size,
)
from guavadyke.settings import validation_findings

# Headers that the host that runs an item sets.
_SET_BY_HOST = MANAGED_HEADERS | {'host'}


def _checked_headers(headers: Mapping[str, str]) -> Mapping[str, str]:
    """Return headers that servers can be sent.

    Raises:
        ValueError: they cannot.
    """
    defects = '; '.join(header_defects(headers))
    if defects:
        raise ValueError(defects)
    return headers


class _ItemBody(pydantic.BaseModel):
    item_id: str = pydantic.Field(alias='Id', pattern=f'^{VISIBLE_TEXT}$')
    path: str = pydantic.Field(alias='Path', pattern=f'^/({VISIBLE_TEXT})?$')
    headers: Annotated[
        Mapping[str, str], pydantic.AfterValidator(_checked_headers)
    ] = pydantic.Field(alias='Headers', default={})
    body: str = pydantic.Field(alias='Body', default='')
    # Tokens of the prompt plus the maximum that may be generated.
    tokens: int = pydantic.Field(alias='Tokens', ge=0)


class _JobBody(pydantic.BaseModel):
    items: tuple[_ItemBody, ...] = pydantic.Field(alias='Items', min_length=1)


def parse_items(
    body: bytes, route: ForwardRoute, team: Team | None
) -> tuple[ForwardItem, ...]:
    """Return the items of a submission.

    Their headers are those that servers get: hosts of older releases send
    them as they are stored.

    Args:
        body: the JSON document.
        route: the route that it was submitted to.
        team: the team that submits it, None for none.

    Raises:
        GuavadykeError: ``bad_request``, it cannot be read, or no server could
            be sent one of its items.
    """
    try:
        document = _JobBody.model_validate_json(body)
        return tuple(_item(item, route, team) for item in document.items)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the job cannot be read',
            findings=validation_findings(error),
        ) from error
    except ValueError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'an item has a body that is not base64',
        ) from error


def item_of_team(item: ForwardItem, team: str) -> ForwardItem:
    """Return an item whose headers name its team and no key.

    A host of an older release that runs the item sends these headers.
    """
    headers = without_headers(item.headers, TEAM_HEADERS)
    return dataclasses.replace(item, headers={**headers, **team_headers(team)})


def _item(
    item: _ItemBody, route: ForwardRoute, team: Team | None
) -> ForwardItem:
    headers = without_headers(
        end_to_end_headers(item.headers, END_TO_END_HEADERS), _SET_BY_HOST
    )
    stated = {name.lower(): text for name, text in headers.items()}
    return ForwardItem(
        item.item_id,
        item.path,
        headers,
        base64.b64decode(item.body, validate=True),
        item.tokens,
        shared_prompt_part_ids(stated.get(PROMPT_PREFIX_HEADER, '')),
        stated_size(stated, route, team),
    )
