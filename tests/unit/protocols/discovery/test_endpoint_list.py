"""The endpoint list: zones that the settings do not name."""

from __future__ import annotations

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS


def record(number: int, zone: str) -> EndpointRecord:
    return EndpointRecord(
        f"s-{number:08x}", "127.0.0.1", 9000 + number, zone, "std", 0, EndpointState.READY, 1.0, 0.0
    )


def test_two_zones_that_the_settings_do_not_name_are_two_zones() -> None:
    """Guards against a key that runs in two zones: all zones without a name in the settings were one."""
    endpoint_list = EndpointList(settings_from_object(SETTINGS | {"localities": ["room-a"]}))
    zones = ["room-b", "room-a", "room-c", "room-b"]
    first = endpoint_list.apply_update(
        1, [record(number, zone) for number, zone in enumerate(zones, 1)], is_snapshot=True
    )
    assert first is not None
    assert [endpoint.zone for endpoint in first.endpoints] == [1, 0, 2, 1]
    later = endpoint_list.apply_update(2, [record(5, "room-c"), record(6, "room-d")], is_snapshot=False)
    assert later is not None
    assert [endpoint.zone for endpoint in later.endpoints] == [2, 3]
