"""The decisions of one router and what stands beside them.

Hosted alike by the simulator's adapter and the planner. What the settings forbid is not made.
"""

from __future__ import annotations

from cedarthread import interface as i
from cedarthread.decide import Router
from cedarthread.spread.talk import Talk

BESIDE = 2**32 - 1  # the token of the timer beside the router, whose own stay under 2^31
LOOK = 250.0  # ms between looks at what has become old

_STANDS = {
    i.CopyNote.FOUND: True,
    i.CopyNote.BEGAN: True,
    i.CopyNote.AWAITED: True,
    i.CopyNote.LOAD_FAILED: False,
}


class Decisions:
    """One router and its talk with others."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.seed = seed
        self.router = Router(settings, seed)
        self.talk: Talk | None = None
        self.out: dict[tuple[int, int], int] = {}  # attempts out: request and worker to function
        self.timed = False
        self.retune(settings)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take one event and return what is to be done, in order."""
        talk = self.talk
        if talk is None:
            return self.router.handle(now, event)
        if type(event) is i.PeerMessage:
            self._changed(talk.hear(now, event.sender, event.data))
            actions: list[i.Action] = []
        elif type(event) is i.TimerDue and event.token == BESIDE:
            self._changed(talk.refreshed(now))
            self.timed, actions = False, []
        else:
            if type(event) is i.AttemptEnded:
                self._ended(talk, now, event)
            actions = self.router.handle(now, event)
            if type(event) is i.Request and not event.repeat:
                talk.call()
            self._sent(talk, actions)
        actions.extend(talk.tell(now))
        if not self.timed:
            self.timed = True
            actions.append(i.SetTimer(now + LOOK, BESIDE))
        return actions

    def retune(self, settings: i.Settings) -> None:
        """New settings whose classes only add to the old ones; what they now forbid ends."""
        self.router.retune(settings)
        talks = settings.limits.peers and settings.gateways > 1
        if talks and self.talk is None:
            self.talk = Talk(settings, self.seed)
        elif talks and self.talk is not None:
            self.talk.retune(settings)
        elif not talks:
            self.talk, self.timed = None, False
            for view in self.router.workers.values():
                view.elsewhere = 0.0
            for function in self.router.functions.values():
                function.told = {}
        self.router.talk = self.talk

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
