"""The decisions of one router and what stands beside them.

Hosted alike by the simulator's adapter and the planner. What the settings forbid is not made.
"""

from __future__ import annotations

from cedarthread import interface as i
from cedarthread.decide import Router
from cedarthread.membership import form as membership
from cedarthread.membership.form import Status
from cedarthread.membership.members import Members
from cedarthread.spread.talk import Talk

BESIDE = 2**32 - 1  # the token of the timer beside the router, whose own stay under 2^31
LOOK = 250.0  # ms between looks at what has become old
NAMED = 8  # members that one log line names

_STANDS = {
    i.CopyNote.FOUND: True,
    i.CopyNote.BEGAN: True,
    i.CopyNote.AWAITED: True,
    i.CopyNote.LOAD_FAILED: False,
}


class Decisions:
    """One router, its talk with others, and who of them is there."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.seed = seed
        self.router = Router(settings, seed)
        self.talk: Talk | None = None
        self.members: Members | None = None
        self.out: dict[tuple[int, int], int] = {}  # attempts out: request and worker to function
        self.timed = False
        self.retune(settings)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take one event and return what is to be done, in order."""
        talk, members = self.talk, self.members
        if talk is None or members is None:
            return self.router.handle(now, event)
        actions: list[i.Action] = []
        if type(event) is i.PeerMessage:
            members.heard(now, event.sender)
            if event.data[:1] == membership.MARK:
                actions += members.hear(now, event.sender, event.data)
            else:
                self._changed(talk.hear(now, event.sender, event.data))
        elif type(event) is i.TimerDue and event.token == BESIDE:
            self._changed(talk.refreshed(now))
            actions += members.turn(now)
            self.timed = False
        else:
            if type(event) is i.AttemptEnded:
                self._ended(talk, now, event)
            actions = self.router.handle(now, event)
            if type(event) is i.Request and not event.repeat:
                talk.call()
            self._sent(talk, actions)
        if members.changes:
            actions += self._fleet(talk, members)
        actions.extend(talk.tell(now))
        if not self.timed:
            self.timed = True
            actions.append(i.SetTimer(now + LOOK, BESIDE))
        return actions

    def retune(self, settings: i.Settings) -> None:
        """New settings whose classes only add to the old ones; what they now forbid ends."""
        self.router.retune(settings)
        if not (settings.limits.peers and settings.gateways > 1):
            self.talk, self.members, self.timed = None, None, False
            for view in self.router.workers.values():
                view.elsewhere = 0.0
            for function in self.router.functions.values():
                function.told = {}
            self.router.talk, self.router.fleet = None, max(1, settings.gateways)
            return
        if self.members is None or self.members.count != settings.gateways:
            self.members = Members(settings.ordinal, settings.gateways, self.seed)
        if self.talk is None:
            self.talk = self.router.talk = Talk(settings, self.seed)
        else:
            self.talk.retune(settings)
        self._present(self.talk, self.members)

    def _present(self, talk: Talk, members: Members) -> None:
        """Who is there: shares of the fleet's work, and whom the talk tells, go by it."""
        talk.present(members.others())
        self.router.fleet = members.present()

    def _fleet(self, talk: Talk, members: Members) -> list[i.Action]:
        """Members are held otherwise than before."""
        words = [
            f"{c.member} {c.status.name.lower()}" for c in members.changes if c.status is not Status.SUSPECT
        ]
        members.changes.clear()
        self._present(talk, members)
        text = f"members: {members.present()} of {members.count} routers there; {', '.join(words[:NAMED])}"
        return [i.Log(text)] if words else []

    def _changed(self, elsewhere: dict[int, float]) -> None:
        for worker, calls in elsewhere.items():
            if (view := self.router.workers.get(worker)) is not None:
                view.elsewhere = calls

    def _sent(self, talk: Talk, actions: list[i.Action]) -> None:
        for action in actions:
            if type(action) is i.Send and (job := self.router.open.get(action.request)) is not None:
                self.out[action.request, action.worker] = job.request.function
                talk.sent(action.worker, job.request.function)

    def _ended(self, talk: Talk, now: float, event: i.AttemptEnded) -> None:
        function = self.out.pop((event.request, event.worker), None)
        if function is not None:
            stands = True if event.outcome is i.Outcome.OK else _STANDS.get(event.note)
            talk.ended(now, event.worker, function, False if event.outcome is i.Outcome.MISS else stands)
