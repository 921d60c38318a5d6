"""The table of members with their status, and the rules by which updates change the table.

The rules are SWIM's (section 4.2 of the paper, see ``swim``). A higher incarnation overrides a lower one.
At the same incarnation, dead overrides suspect, and suspect overrides alive. Only a member itself raises
its incarnation, in order to refute updates about itself. ``SwimMembership`` and ``FailureDetector`` update
the table. Times are ms on the router's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.membership.codec import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    from cedarthread.membership.dissemination import DisseminationBuffer

MAX_INCARNATION_STEP = 2**16  # an update that raises an incarnation by more is rejected as implausible


@dataclass(slots=True)
class Member:
    """The state of another router."""

    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    status_since_ms: float = 0.0
    incarnation_since_ms: float = 0.0  # time at which this router first received the incarnation
    received_at_ms: float = -math.inf  # time at which the member itself last sent a datagram
    corrected_at_ms: float = -math.inf  # time at which the member was last sent a correction (see ``swim``)


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of a member to another status."""

    member_index: int
    status: MemberStatus


class MemberTable:
    """The state of all other members, and this router's own incarnation.

    ``status_changes`` holds the changes that are not logged yet; the host logs and clears the list.
    """

    def __init__(
        self, router_index: int, router_count: int, dissemination: DisseminationBuffer, now_ms: float
    ) -> None:
        self.router_index = router_index
        self.incarnation = 0
        self.members = {
            index: Member(status_since_ms=now_ms, incarnation_since_ms=now_ms)
            for index in range(router_count)
            if index != router_index
        }
        self.status_changes: list[StatusChange] = []
        self.implausible_updates = 0
        self._dissemination = dissemination

    def alive_peers(self) -> list[int]:
        """Return the other routers with status alive or suspect."""
        return [index for index, member in self.members.items() if member.status is not MemberStatus.DEAD]

    def dead_peers(self) -> list[int]:
        """Return the other routers with status dead."""
        return [index for index, member in self.members.items() if member.status is MemberStatus.DEAD]

    def status_of(self, member_index: int) -> MemberStatus:
        """Return the status of one router; this router itself is always alive."""
        if member_index == self.router_index:
            return MemberStatus.ALIVE
        return self.members[member_index].status

    def update_of(self, member_index: int) -> MemberUpdate:
        """Return the update to send about one member, or about this router itself."""
        if member_index == self.router_index:
            return MemberUpdate(member_index, self.incarnation, MemberStatus.ALIVE)
        member = self.members[member_index]
        return MemberUpdate(member_index, member.incarnation, member.status)

    def merge(self, now_ms: float, update: MemberUpdate) -> None:
        """Apply an update that another router sent about a member or about this router."""
        if update.member_index == self.router_index:
            self._refute(update)
            return
        member = self.members.get(update.member_index)
        if member is None or update.incarnation > member.incarnation + MAX_INCARNATION_STEP:
            self.implausible_updates += 1
            return
        is_newer = update.incarnation > member.incarnation
        is_worse = update.incarnation == member.incarnation and update.status > member.status
        if is_newer:
            member.incarnation_since_ms = now_ms
        if is_newer or is_worse:
            member.incarnation = update.incarnation
            self.set_status(now_ms, update.member_index, update.status)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update from an earlier run, or with status suspect or dead: raise the incarnation."""
        is_from_earlier_run = update.incarnation > self.incarnation
        is_accused = update.status is not MemberStatus.ALIVE and update.incarnation == self.incarnation
        if update.incarnation > self.incarnation + MAX_INCARNATION_STEP:
            self.implausible_updates += 1
        elif is_from_earlier_run or is_accused:
            self.incarnation = update.incarnation + 1
            self._dissemination.add(self.router_index)

    def raise_incarnation(self) -> None:
        """Raise this router's incarnation, so that peers override its status with alive."""
        self.incarnation += 1
        self._dissemination.add(self.router_index)

    def set_status(self, now_ms: float, member_index: int, status: MemberStatus) -> None:
        """Set a member's status and disseminate the update, even if only its incarnation has changed."""
        member = self.members[member_index]
        if status is not member.status:
            self.status_changes.append(StatusChange(member_index, status))
            member.status_since_ms = now_ms
        member.status = status
        self._dissemination.add(member_index)
