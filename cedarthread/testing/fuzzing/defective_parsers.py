"""Defective replacements of functions of the parsers, the endpoint list and the store of deferred calls.

A replacement has the signature of the function that it replaces. Several replacements call the original,
which this module saves at import, before a defect is injected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, SupportsFloat

from cryptography import x509

from cedarthread.dispatch.calls import AttemptResult
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols import dns, http, msgpack
from cedarthread.protocols.discovery import endpoint_list, endpoint_records
from cedarthread.protocols.invoke import spiffe
from cedarthread.protocols.worker.codec import parse_call_response

if TYPE_CHECKING:
    from cedarthread.dispatch import deferred
    from cedarthread.model.endpoints import EndpointUpdate
    from cedarthread.protocols.discovery import client as discovery

_parse_content_length = http._parse_content_length
_parse_call_response = parse_call_response
_apply_update = endpoint_list.EndpointList.apply_update


def take_slice_unlimited(data: memoryview, offset: int, count: int) -> memoryview:
    """Return a slice of the data without checking its length against the limit."""
    if offset + count > len(data):
        raise msgpack._IncompleteError(offset + count)
    return data[offset : offset + count]


def parse_first_length(fields: dict[str, str], max_bytes: int) -> int | http.InvalidRequest:
    """Return the declared length without rejecting a Transfer-Encoding field."""
    fields = {name: value for name, value in fields.items() if name != "transfer-encoding"}
    return _parse_content_length(fields, max_bytes)


def parse_name_unbounded(data: bytes, offset: int) -> tuple[str, int]:
    """Parse a DNS name without a limit on compression pointers."""
    labels: list[str] = []
    end = -1
    while (size := data[offset]) != 0:
        if size >= 0xC0:
            end = offset + 2 if end < 0 else end
            offset = (size & 0x3F) << 8 | data[offset + 1]
            continue
        labels.append(data[offset + 1 : offset + 1 + size].decode("ascii").lower())
        offset += 1 + size
    return ".".join(labels), offset + 1 if end < 0 else end


def apply_stale_update(
    self: endpoint_list.EndpointList,
    version: int,
    records: list[endpoint_list.EndpointRecord],
    *,
    is_snapshot: bool,
) -> EndpointUpdate | None:
    """Apply an update of the endpoint list even if it is older than the list."""
    self.version = min(self.version, version - 1)
    return _apply_update(self, version, records, is_snapshot=is_snapshot)


def accept_any_reply(self: discovery.DiscoveryClient, data: bytes, addr: object) -> None:
    """Pass on the list of every reply, whether or not it answers a query."""
    reply = dns.parse(data)
    if isinstance(reply, dns.Reply) and reply.serial is not None:
        records = endpoint_records.endpoints_from_reply(reply)
        if not isinstance(records, str):
            self.on_update(reply.serial, records)


def accept_malformed(message: dict[str, Any], columns: tuple[str, ...]) -> AttemptResult | None:
    """Return a successful result for a malformed answer."""
    return _parse_call_response(message, columns) or AttemptResult(Outcome.OK, b"spoilt")


def number_unchecked(value: SupportsFloat | str, minimum: float = 0.0) -> float:
    """Return a number without checking its range."""
    return float(value)


def parse_without_path_check(text: str) -> str | None:
    """Return the trust domain of a SPIFFE ID without checking the path."""
    domain, slash, _ = text.removeprefix("spiffe://").partition("/")
    return domain if text.startswith("spiffe://") and slash and spiffe._DOMAIN.match(domain) else None


def take_first_uri(leaf: x509.Certificate) -> spiffe.Identity:
    """Return the identity of the first URI of a certificate without any further check."""
    names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    uri = names.get_values_for_type(x509.UniformResourceIdentifier)[0]
    return spiffe.Identity(uri, spiffe.parse_trust_domain(uri) or "", 0.0)


def find_of_any_owner(self: deferred.DeferredCalls, owner: str, call_id: str) -> deferred.DeferredCall | None:
    """Return a deferred call without checking its owner."""
    return self._calls_by_id.get(call_id)


def remove_without_releasing_bytes(self: deferred.DeferredCalls, entry: deferred.DeferredCall) -> None:
    """Remove a deferred call but retain its reserved bytes."""
    self._calls_by_id.pop(entry.call_id, None)
    if (
        entry.idempotency_key is not None
        and self._id_by_key.get((entry.owner, entry.idempotency_key)) == entry.call_id
    ):
        del self._id_by_key[(entry.owner, entry.idempotency_key)]
