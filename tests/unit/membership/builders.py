"""Builder for member tables."""

from __future__ import annotations

from cedarthread.membership.dissemination import DisseminationBuffer
from cedarthread.membership.member_table import MemberTable


def make_table(router_count: int = 4) -> MemberTable:
    """Return the table of router 0 at time 0."""
    return MemberTable(0, router_count, DisseminationBuffer(router_count, 0.0), 0.0)
