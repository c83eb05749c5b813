"""Encodes and decodes the notices in datagrams as Thrift structs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from guavadyke.adapters import allowance_codec, ports
from guavadyke.adapters.text_fields import checked_text
from guavadyke.decisions.fault_reports import ServerFault
from guavadyke.decisions.host_abilities import HostAbility
from guavadyke.decisions.request_permits import Permit, PermitRequest
from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.peer.generated.messages import ttypes

_Parsed = TypeVar('_Parsed')
_NO_NOTICE = ports.PeerNotice()


def notice_fields(notice: ports.PeerNotice) -> dict[str, Any]:
    """Return the fields of a datagram that hold a notice."""
    return {
        'demands': list_or_none(map(_demand_to_struct, notice.demands)),
        'grants': list_or_none(map(_grant_to_struct, notice.grants)),
        'counts': list_or_none(map(_online_count_to_struct, notice.counts)),
        'batch_counts': list_or_none(
            map(_batch_count_to_struct, notice.batch_counts)
        ),
        'faults': list_or_none(map(_fault_to_struct, notice.faults)),
        'permit_requests': list_or_none(
            map(_permit_request_to_struct, notice.permit_requests)
        ),
        'permits': list_or_none(map(_permit_to_struct, notice.permits)),
        'stream_origins': list_or_none(
            map(_stream_origin_to_struct, notice.stream_origins)
        ),
        'stream_queries': list_or_none(
            map(_stream_origin_to_struct, notice.stream_queries)
        ),
        'abilities': list_or_none(map(_ability_to_struct, notice.abilities)),
        'ended_jobs': list_or_none(notice.ended_jobs),
        'allowance_requests': list_or_none(
            map(allowance_codec.request_to_struct, notice.allowance_requests)
        ),
        'allowance_permits': list_or_none(
            map(allowance_codec.permit_to_struct, notice.allowance_permits)
        ),
    }


def notice_from_struct(struct: Any) -> ports.PeerNotice | None:
    """Return the notice in a datagram, None if there is none.

    Raises:
        ValueError: a text is missing or too long.
    """
    notice = ports.PeerNotice(
        demands=parse_all(_demand_from_struct, struct.demands),
        grants=parse_all(_grant_from_struct, struct.grants),
        counts=parse_all(_online_count_from_struct, struct.counts),
        batch_counts=parse_all(_batch_count_from_struct, struct.batch_counts),
        faults=parse_all(_fault_from_struct, struct.faults),
        permit_requests=parse_all(
            _permit_request_from_struct, struct.permit_requests
        ),
        permits=parse_all(_permit_from_struct, struct.permits),
        stream_origins=parse_all(
            _stream_origin_from_struct, struct.stream_origins
        ),
        stream_queries=parse_all(
            _stream_origin_from_struct, struct.stream_queries
        ),
        abilities=parse_all(_ability_from_struct, struct.abilities),
        ended_jobs=parse_all(checked_text, struct.ended_jobs),
        allowance_requests=parse_all(
            allowance_codec.request_from_struct, struct.allowance_requests
        ),
        allowance_permits=parse_all(
            allowance_codec.permit_from_struct, struct.allowance_permits
        ),
    )
    return None if notice == _NO_NOTICE else notice


def _demand_to_struct(demand: ports.LimitDemand) -> Any:
    return ttypes.LimitDemand(
        limit_name=demand.limit_name,
        demand=float(demand.demand),
        sequence=demand.sequence,
        in_use=float(demand.in_use),
    )


def _demand_from_struct(struct: Any) -> ports.LimitDemand:
    return ports.LimitDemand(
        checked_text(struct.limit_name),
        float(struct.demand),
        int(struct.sequence or 0),
        float(struct.in_use or 0),
    )


def _grant_to_struct(grant: ports.LimitGrant) -> Any:
    return ttypes.LimitGrant(
        limit_name=grant.limit_name,
        share=float(grant.share),
        valid_s=float(grant.valid_s),
        sequence=grant.sequence,
    )


def _grant_from_struct(struct: Any) -> ports.LimitGrant:
    return ports.LimitGrant(
        checked_text(struct.limit_name),
        float(struct.share),
        float(struct.valid_s),
        int(struct.sequence or 0),
    )


def _online_count_to_struct(count: ports.OnlineCount) -> Any:
    return ttypes.OnlineCount(
        backend_id=count.backend_id,
        in_flight=count.in_flight,
        queued=count.queued,
        work_ms=count.work_ms,
    )


def _online_count_from_struct(struct: Any) -> ports.OnlineCount:
    return ports.OnlineCount(
        checked_text(struct.backend_id),
        int(struct.in_flight),
        int(struct.queued),
        None if struct.work_ms is None else max(0, int(struct.work_ms)),
    )


def _batch_count_to_struct(count: ports.BatchCount) -> Any:
    return ttypes.BatchCount(
        backend_id=count.backend_id,
        in_flight=count.in_flight,
    )


def _batch_count_from_struct(struct: Any) -> ports.BatchCount:
    return ports.BatchCount(
        checked_text(struct.backend_id), int(struct.in_flight)
    )


def _fault_to_struct(fault: ServerFault) -> Any:
    return ttypes.ServerFault(
        backend_id=fault.backend_id,
        zone=fault.zone,
        failing=fault.failing,
        leaving=fault.leaving or None,
        born_ms=fault.born_ms or None,
    )


def _fault_from_struct(struct: Any) -> ServerFault:
    return ServerFault(
        checked_text(struct.backend_id),
        checked_text(struct.zone),
        bool(struct.failing),
        bool(struct.leaving),
        int(struct.born_ms or 0),
    )


def _permit_request_to_struct(request: PermitRequest) -> Any:
    return ttypes.PermitRequest(
        server_id=request.server_id,
        limit_per_s=float(request.limit_per_s),
        batch=request.batch,
    )


def _permit_request_from_struct(struct: Any) -> PermitRequest:
    return PermitRequest(
        checked_text(struct.server_id),
        float(struct.limit_per_s),
        bool(struct.batch),
    )


def _permit_to_struct(permit: Permit) -> Any:
    return ttypes.Permit(
        server_id=permit.server_id,
        batch=permit.batch,
        valid_s=float(permit.valid_s),
        wait_s=float(permit.wait_s),
    )


def _permit_from_struct(struct: Any) -> Permit:
    return Permit(
        checked_text(struct.server_id),
        bool(struct.batch),
        float(struct.valid_s),
        float(struct.wait_s),
    )


def _stream_origin_to_struct(origin: StreamOrigin) -> Any:
    return ttypes.StreamOrigin(
        stream_id=origin.stream_id,
        service_name=origin.service or None,
        software=origin.software or None,
    )


def _stream_origin_from_struct(struct: Any) -> StreamOrigin:
    return StreamOrigin(
        checked_text(struct.stream_id),
        checked_text(struct.service_name or ''),
        checked_text(struct.software or ''),
    )


def _ability_to_struct(ability: HostAbility) -> Any:
    return ttypes.HostAbility(able=ability.able, valid_s=float(ability.valid_s))


def _ability_from_struct(struct: Any) -> HostAbility:
    return HostAbility(bool(struct.able), float(struct.valid_s))


def parse_all(
    read: Callable[[Any], _Parsed],
    structs: Iterable[Any] | None,
) -> tuple[_Parsed, ...]:
    """Parse all entries of a list field, which may be left out."""
    return tuple(map(read, structs)) if structs else ()


def list_or_none(structs: Iterable[Any]) -> list[Any] | None:
    """Return a list field, which is left out if it is empty."""
    return list(structs) or None
