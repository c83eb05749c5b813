"""Encodes and decodes the allowances of teams as Thrift structs."""

from __future__ import annotations

from typing import Any

from guavadyke.adapters.text_fields import checked_text
from guavadyke.decisions.team_allowances import (
    AllowancePermit,
    AllowanceRequest,
)
from guavadyke.peer.generated.messages import ttypes


def request_to_struct(request: AllowanceRequest) -> Any:
    """Return the request as a Thrift struct."""
    return ttypes.AllowanceRequest(
        team=request.team,
        requests_per_s=float(request.requests_per_s),
        burst=float(request.burst),
        configuration=request.configuration,
        wanted=request.wanted,
    )


def request_from_struct(struct: Any) -> AllowanceRequest:
    """Return the request that a Thrift struct holds.

    Raises:
        ValueError: the name of the team is missing or too long.
    """
    return AllowanceRequest(
        checked_text(struct.team),
        float(struct.requests_per_s),
        float(struct.burst),
        int(struct.configuration),
        int(struct.wanted),
    )


def permit_to_struct(permit: AllowancePermit) -> Any:
    """Return the permit as a Thrift struct."""
    return ttypes.AllowancePermit(
        team=permit.team,
        count=permit.count,
        valid_s=float(permit.valid_s),
        wait_s=float(permit.wait_s),
        usage=float(permit.usage),
    )


def permit_from_struct(struct: Any) -> AllowancePermit:
    """Return the permit that a Thrift struct holds.

    Raises:
        ValueError: the name of the team is missing or too long.
    """
    return AllowancePermit(
        checked_text(struct.team),
        int(struct.count),
        float(struct.valid_s),
        float(struct.wait_s),
        float(struct.usage),
    )
