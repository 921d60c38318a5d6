"""Conversion of a DNS reply from the discovery server to endpoint records."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

if TYPE_CHECKING:
    from cedarthread.protocols import dns

SRV_WEIGHT_SCALE = 10  # an SRV weight is the endpoint's weight in tenths, as an integer
READY_PRIORITY = 0  # priority of an SRV record of a ready worker; any other priority means draining


@dataclass(frozen=True, slots=True)
class PartialList:
    """The names in an unusable or unconfirmed reply that show which workers must get no more calls."""

    draining_names: frozenset[str]
    listed_names: frozenset[str] | None  # the names of all workers; None if the list may be truncated


def endpoints_from_reply(reply: dns.Reply) -> list[EndpointRecord] | str:
    """Return the endpoints of a reply, or the reason why it is unusable."""
    records: dict[str, EndpointRecord] = {}
    for service in reply.srv_records:
        record = _endpoint_from_records(service, reply)
        if isinstance(record, str):
            return record
        if records.setdefault(record.name, record) != record:
            return f"{record.name} is listed twice with different records"
    return list(records.values())


def partial_list(reply: dns.Reply, last_serial: int, *, is_answer_complete: bool) -> PartialList:
    """Extract the draining and the listed workers from the SRV records of a reply.

    Args:
        reply: The reply; its other records may be missing or wrong.
        last_serial: The serial of the list in use. Workers missing from an older reply do not count as gone.
        is_answer_complete: Whether the reply has all SRV records.
    """
    draining = [service for service in reply.srv_records if service.priority != READY_PRIORITY]
    listed = frozenset(map(_worker_name, reply.srv_records))
    is_outdated = reply.serial is None or reply.serial < last_serial
    is_complete = not is_outdated and is_answer_complete and bool(listed)
    return PartialList(frozenset(map(_worker_name, draining)), listed if is_complete else None)


def _worker_name(service: dns.SrvRecord) -> str:
    return service.target.partition(".")[0]


def _endpoint_from_records(service: dns.SrvRecord, reply: dns.Reply) -> EndpointRecord | str:
    name, _, rest = service.target.partition(".")
    address = reply.addresses.get(service.target)
    texts = reply.texts.get(service.target)
    if address is None or texts is None:
        return f"no A or TXT record for {service.target}"
    try:
        # Without a default: cell 0 would be one cell of all workers, and a start at 0 that of a warm worker.
        cell = int(texts["cell"])
        started_at_ms = float(texts["started"])
    except (KeyError, ValueError):
        return f"invalid TXT record of {service.target}"
    if not math.isfinite(started_at_ms):  # NaN is unequal to itself, so each reply would report a restart
        return f"invalid TXT record of {service.target}"
    state = EndpointState.READY if service.priority == READY_PRIORITY else EndpointState.DRAINING
    zone = rest.partition(".")[0]
    kind = texts.get("kind", "")
    weight = service.weight / SRV_WEIGHT_SCALE
    return EndpointRecord(
        name=name,
        host=address,
        port=service.port,
        zone=zone,
        kind=kind,
        cell=cell,
        state=state,
        weight=weight,
        started_at_ms=started_at_ms,
    )
