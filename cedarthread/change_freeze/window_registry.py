"""The registry of all freeze windows of one router, decoded from entries of the replicated store.

The change freeze component supplies the entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.change_freeze.window import FINAL_STATES, FreezeWindow, WindowState
from cedarthread.change_freeze.window_entries import WindowTerms, decode
from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, ReplicatedState

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_UNREADABLE_ENTRIES = 256  # maximum unreadable entries that are retained so that each is logged once
WINDOW_ENTRY_KINDS = (EntryKind.FREEZE, EntryKind.REVOKE, EntryKind.BREAK_GLASS)


class NewVersion(NamedTuple):
    """A version of a window's terms that the registry did not contain before."""

    window: FreezeWindow
    terms: WindowTerms


class UnreadableEntry(NamedTuple):
    """An entry with a malformed body, and the reason."""

    entry: Entry
    reason: str


class WindowRegistry:
    """The windows by id, the latest entries, and the entries that could not be decoded."""

    def __init__(self) -> None:
        self.windows: dict[str, FreezeWindow] = {}
        self.last_entries: dict[tuple[EntryKind, str], ReplicatedEntry] = {}
        self.unreadable: dict[Entry, str] = {}  # reasons by unreadable entry

    @property
    def has_entries(self) -> bool:
        """Return whether the registry contains any entry about windows, readable or not."""
        return bool(self.windows or self.unreadable)

    def add(self, entries: Iterable[ReplicatedEntry]) -> list[NewVersion | UnreadableEntry]:
        """Add the entries about windows; return new versions and unreadable entries in order, for the log."""
        findings: list[NewVersion | UnreadableEntry] = []
        for replicated in entries:
            entry = replicated.entry
            key = (entry.kind, entry.name)
            is_known = replicated == self.last_entries.get(key) or entry in self.unreadable
            if entry.kind not in WINDOW_ENTRY_KINDS or is_known:
                continue
            self.last_entries[key] = replicated
            body = decode(entry.kind, entry.name, entry.body)
            if isinstance(body, MalformedDatagram):
                self.unreadable[entry] = body.reason
                while len(self.unreadable) > MAX_UNREADABLE_ENTRIES:
                    del self.unreadable[next(iter(self.unreadable))]
                findings.append(UnreadableEntry(entry, body.reason))
                continue
            window = self.windows.setdefault(body.window_id, FreezeWindow(body.window_id))
            if window.add(replicated, body) and isinstance(body, WindowTerms):
                findings.append(NewVersion(window, body))
        return findings

    def prune(self, replicated_state: ReplicatedState) -> list[str]:
        """Remove ended or revoked windows that have no entry in the replicated store; return their ids."""
        names = {
            replicated.entry.name
            for kind in WINDOW_ENTRY_KINDS
            for replicated in replicated_state.entries(kind)
        }
        removed = [
            window_id
            for window_id, window in self.windows.items()
            if window_id not in names and window.state in FINAL_STATES
        ]
        for window_id in removed:
            del self.windows[window_id]
        for key in [key for key in self.last_entries if key[1] not in names]:
            del self.last_entries[key]
        return removed

    def has_step_sensitive_window(
        self, unix_ms: float, max_error_ms: float, staleness_bound_ms: float
    ) -> bool:
        """Return whether a step of the wall clock to this time could open, skip or reopen a window.

        Three windows are not affected: one that starts more than the staleness bound after both the present
        time and ``unix_ms``, because the clock may be corrected first; one that has ended by both of these
        times; and a revoked one.
        """
        for window in self.windows.values():
            if window.state is WindowState.ENDED and window.latest_end_unix_ms() <= unix_ms - max_error_ms:
                continue
            if (
                window.state is WindowState.DECLARED
                and window.earliest_start_unix_ms() > unix_ms + staleness_bound_ms
            ):
                continue
            if window.state is not WindowState.REVOKED:
                return True
        return False
