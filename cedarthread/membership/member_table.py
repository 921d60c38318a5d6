"""The state of each member as this router sees it, and the rules by which updates change it.

The rules are SWIM's (section 4.2 of the paper, see `swim`): a higher incarnation overrides a lower one; at
the same incarnation dead overrides suspect, and suspect overrides alive. Only a member itself raises its
incarnation, which is how it refutes what others say of it. Times are ms on the router's steady clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.membership.codec import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    from cedarthread.membership.dissemination import DisseminationBuffer

MAX_INCARNATION_STEP = 2**16  # by which an incarnation may rise between two updates: more is taken for a lie


@dataclass(slots=True)
class Member:
    """Another router."""

    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    status_since_ms: float = 0.0
    incarnation_since_ms: float = 0.0  # when it was first known in this incarnation
    received_at_ms: float = -math.inf  # when anything last came from the member itself
    corrected_at_ms: float = -math.inf  # when it was last sent how it is seen, for it to refute


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A member has entered another status."""

    member_index: int
    status: MemberStatus


class MemberTable:
    """All other members, and this router's own incarnation.

    `status_changes` is for the log; its reader clears it.
    """

    def __init__(
        self, router_index: int, router_count: int, dissemination: DisseminationBuffer, now_ms: float
    ) -> None:
        self.router_index, self.incarnation = router_index, 0
        self.members = {
            index: Member(status_since_ms=now_ms, incarnation_since_ms=now_ms)
            for index in range(router_count)
            if index != router_index
        }
        self.status_changes: list[StatusChange] = []
        self.implausible_updates = 0
        self._dissemination = dissemination

    def alive_peers(self) -> list[int]:
        """The other routers that are not held dead."""
        return [index for index, member in self.members.items() if member.status is not MemberStatus.DEAD]

    def dead_peers(self) -> list[int]:
        """The other routers that are held dead."""
        return [index for index, member in self.members.items() if member.status is MemberStatus.DEAD]

    def status_of(self, member_index: int) -> MemberStatus:
        """The status of one router; this one is always alive."""
        if member_index == self.router_index:
            return MemberStatus.ALIVE
        return self.members[member_index].status

    def update_of(self, member_index: int) -> MemberUpdate:
        """What this router sends of one member, or of itself."""
        if member_index == self.router_index:
            return MemberUpdate(member_index, self.incarnation, MemberStatus.ALIVE)
        member = self.members[member_index]
        return MemberUpdate(member_index, member.incarnation, member.status)

    def merge(self, now_ms: float, update: MemberUpdate) -> None:
        """Take what another router sent of a member, or of this router."""
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
        """Override what others say of this router: of an earlier start, or because they do not hear it."""
        is_from_earlier_start = update.incarnation > self.incarnation
        is_accused = update.status is not MemberStatus.ALIVE and update.incarnation == self.incarnation
        if update.incarnation > self.incarnation + MAX_INCARNATION_STEP:
            self.implausible_updates += 1
        elif is_from_earlier_start or is_accused:
            self.incarnation = update.incarnation + 1
            self._dissemination.add(self.router_index)

    def raise_incarnation(self) -> None:
        """Override all that others say of this router."""
        self.incarnation += 1
        self._dissemination.add(self.router_index)

    def set_status(self, now_ms: float, member_index: int, status: MemberStatus) -> None:
        """Set a member's status, and disseminate it also if only its incarnation is new."""
        member = self.members[member_index]
        if status is not member.status:
            self.status_changes.append(StatusChange(member_index, status))
            member.status_since_ms = now_ms
        member.status = status
        self._dissemination.add(member_index)
