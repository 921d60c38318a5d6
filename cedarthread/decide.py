"""All decisions of a gateway. Its types stand in cedarthread/interface.py: read that first.

One flow: eligible workers -> load-balanced distance -> admit (send, hold, refuse) -> on outcome: learn, then
finish, move or fail. ``Router.handle(now, event)`` returns the actions; time and seed come from outside.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from cedarthread import interface as i
from cedarthread.limits import health, orders, slow_start
from cedarthread.limits.health import EJECT, EJECT_CAP, LATE, SILENT_CAP, TROUBLE_GAIN, TROUBLE_MOST
from cedarthread.limits.jam import Jam
from cedarthread.limits.reach import Reach
from cedarthread.limits.state import SEEN_PRIOR, SEEN_TIME, Attempt, Function, Open, WorkerView
from cedarthread.measures import Ewma, Fading, Mean, Peak
from cedarthread.spread.popularity import Popularity
from cedarthread.spread.rendezvous import mix, rank
from cedarthread.spread.talk import Copy, Talk

if TYPE_CHECKING:
    from cedarthread.advice import Advice

# The design's own numbers.
ALPHA = 0.03  # share by which a send moves warmth: up on the chosen worker, down on the others
FACTOR = 4.0  # requests out, in lanes, that weigh as much as a whole step from warm to cold
HOMES = 10.0  # homes of a function for each worker that its part of the calls would fill, at most
HOME_CALLS = 14.0  # calls of the fleet that each home has to get while a copy may lie idle: loads are dear
IDLE_WEIGHT = 10.0  # a price of idle memory makes them fewer, for each holds copies: by half at 0.1
SPARE = 2  # workers after the homes that are looked at too
SPREAD = 0.1  # distance by which a gateway prefers one home of such a function: no more than warmth lacks
HOME_WARM = 0.9  # warmth that the homes of a function with several have at least: others' calls go there
ABROAD = 6.5  # distance to another zone, for each whole point that crossing there costs: 0.3 at 0.046
RANK_STEP = 0.25  # distance added for each place behind the homes: one request out, by FACTOR

# Learning.
RATE_TIME = 5000.0  # ms, time constant of rates: some windows of rule 4, well under a warm-up
FIRST_GUESS = 4.0  # before any answer, service is taken to need the aim divided by this
FAINT = 0.01  # warmth under this is forgotten
SEEN_MOST = 12000.0  # ms in which what answers show of a worker fades, at most
SEEN_ANSWERS = 4.0  # between least and most, the time that so many own calls to one worker take
OTHERS_PART = 0.05  # part of a request out that each one of others weighs, three times it where own are rare
REPORT_PART = 0.25  # part of that time in which what it said to hold fades: that changes with every call
ELSEWHERE = 0.3  # part of a request out that each one of others weighs, where they tell of them
CROWD_PART = 0.25  # part of a request out that each request of others weighs: a worker has some cores

# Attempts.
TRIAL = 0.5  # distance by which a half-open trial is nearer than the worker would be, were it sound
HEDGE = 2.5  # times its expected time after which a second copy is sent, where that is allowed
STALL = 100.0  # ms that a timer may come late before the gateway takes itself for stalled

# Admission.
RETRY_SHARE, RETRY_MOST = 0.15, 10.0  # retry budget: moves earned by each first try; most saved up
REPEAT = 3.0  # times that a client's marked repeat is refused as often: its first try has had its turn
SHED_MOST = 0.95  # the rest always passes: it shows when the jam is over
HEARD = 0.5  # part of the other routers that must be heard for calls to wait for copies
COME_BACK = 0.05, 0.15  # parts of the longest wait that a refused client is told to keep away, least and most
CANNOT = 0.5  # part of its expected time under which a request's time left is not enough to begin
TURNED_TIME = 3000.0  # ms in which it fades that a worker turned a class or tenant away
HELD_PART = 0.5  # part of its time for which a request that has not been sent is held at most
HOLD = 50.0  # ms between looks at what is held
LEAST_LEFT = 20.0  # ms before the client's time is up by which a held request is answered
LOG_EVERY = 5000.0  # ms between two log lines of one kind

_ANSWERS = (i.Outcome.OK, i.Outcome.FULL, i.Outcome.ERROR, i.Outcome.MISS)


class Router:
    """The decisions of one gateway."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.workers: dict[int, WorkerView] = {}
        self.functions: dict[int, Function] = {}  # the least lately used first
        self.open: dict[int, Open] = {}
        self.held: dict[int, Open] = {}
        self.late: dict[tuple[int, int], Attempt] = {}  # still out when their request was closed
        self.by_class = [Ewma() for _ in settings.classes]
        self.by_work = [Ewma() for _ in settings.classes]  # time per hinted work
        self.tenants = [Fading(RATE_TIME) for _ in settings.tenants]
        self.calls = Fading(RATE_TIME)
        self.jam, self.popular, self.reach = Jam(), Popularity(), Reach(settings.zone)
        self.began = math.inf  # when the first call came
        self.rate, self.scarce, self.normal = 0.0, 1.0, 0.0  # by ``_measure``, with the next
        self.memory = SEEN_TIME  # ms in which what a worker showed fades
        self.usual = Mean.over(RATE_TIME)  # requests of others that a worker says to hold
        self.demand = [Fading(RATE_TIME) for _ in settings.classes]  # first tries that were not refused
        self.value, self.loads = Ewma(), Ewma()
        self.budget, self.loads_out = RETRY_MOST, 0
        self.ordered, self.taken = deque[float](), deque[float]()
        self.agenda: list[tuple[float, int, int, int]] = []  # due, serial, request (-1: none), attempt
        self.timer, self.timer_at = 0, math.inf
        self.stalled, self.look_at = -math.inf, math.inf  # last stall; when what is held is looked at next
        self.asked, self.ask_wait, self.ask_at = False, 0.0, math.inf
        self.logged: dict[str, float] = {}
        self.out: list[i.Action] = []
        self.talk: Talk | None = None
        self.advice: Advice | None = None  # of what the fleet shares: contracts, freezes, returns
        self.fleet = max(1, settings.gateways)  # gateways that are there, as far as that is known
        self.most = Peak()  # workers that were ready lately
        self._follow(settings)
        self.now, self.serial, self.epoch, self.ready, self.blind = 0.0, 0, 0, 0, True
        self.takes: dict[type, Callable[[Any], None]] = {
            i.AttemptEnded: self._ended,
            i.Request: self._arrive,
            i.TimerDue: self._tick,
            i.Membership: self._members,
            i.StreamBegan: self._stream,
            i.ClientGone: self._gone,
            i.OrderEnded: self._order_ended,
        }

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take one event and return what is to be done, in order."""
        self.now, self.out = now, []
        if now > self.timer_at + STALL:
            self.stalled = now  # no turn when one was due: what comes now is old, judge nobody by it
        if (take := self.takes.get(type(event))) is not None:  # messages go to the talk; probes are not sent
            take(event)
        due = max(self.agenda[0][0], now + 1.0) if self.agenda else math.inf
        if due < self.timer_at:
            self.timer, self.timer_at = (self.timer + 1) % 2**31, due
            self.out.append(i.SetTimer(self.timer_at, self.timer))
        return self.out

    # The list of workers.

    def _members(self, event: i.Membership) -> None:
        if event.kind is i.ListKind.FAILED:
            self.ask_wait = min(max(2 * self.ask_wait, self.s.rules.ask_within / 16), self.s.rules.ask_within)
            self.ask_at = self.now + self.ask_wait * self.rng.uniform(0.5, 1.0)
            return self._due(self.ask_at)
        self.ask_wait = 0.0
        if event.kind is not i.ListKind.DELTA:
            told = {entry.worker for entry in event.workers}
            for worker, view in self.workers.items():
                if worker not in told:
                    view.entry = replace(view.entry, state=i.WorkerState.GONE)
        for entry in event.workers:
            old = self.workers.get(entry.worker)
            if old is None:
                self.workers[entry.worker] = WorkerView(entry, mix(entry.worker), self.rng.random())
                self.epoch += 1
                continue
            anew = entry.started is not None and entry.started != old.entry.started
            if anew or entry.state is i.WorkerState.GONE:
                self._forget(entry.worker)
            if anew:
                health.renew(old)
                self.reach.renewed(entry.zone)
                old.ration = self.rng.random()
            old.entry = entry
        for worker, view in list(self.workers.items()):
            if view.entry.state is i.WorkerState.GONE and not view.pending:
                self._forget(worker)
                del self.workers[worker]
                self.epoch += 1
        self._count()
        if self.s.discovery is i.Discovery.ASK and not self.asked:
            self.ask_at = self.now
            self._due(self.now)
        self._pump()

    def _count(self) -> None:
        """Workers that this router can send to: those of a zone cut off from it take none of its calls."""
        ready = [v for v in self.workers.values() if v.entry.state is i.WorkerState.READY]
        reached = sum(v.entry.zone not in self.reach.gates for v in ready)
        before, self.ready, self.blind = self.ready, reached or len(ready), not reached
        self.most.went(self.now, before, self.ready)

    def _forget(self, worker: int) -> None:
        if self.talk is not None:
            self.talk.forget(worker)
        for function in self.functions.values():
            function.forget(worker)
            self.loads_out -= worker in function.loading
            function.loading.discard(worker)

    # Requests.

    def _arrive(self, request: i.Request) -> None:
        now = self.now
        if self.s.rules.load_window > 0 and self.s.orders:
            orders.taken(self.s.rules, self.taken, now)
        key = (request.klass, request.tenant)
        job = Open(request, self.s.classes[request.klass], self._function(request), key, now)
        self.open[request.request] = job
        over = 1.0
        if request.tenant is not None and request.tenant < len(self.tenants):
            self.tenants[request.tenant].add(now, 1.0)
            part = self.tenants[request.tenant].read(now) / sum(t.read(now) for t in self.tenants)
            over = part / max(self.s.tenants[request.tenant].share, 0.01)
        if self._refuses(job, over):
            return self._give_up(job)
        if not request.repeat:  # a client's repeats earn nothing: they could drain what others need
            self.budget = min(self.budget + RETRY_SHARE, RETRY_MOST)
            self.demand[request.klass].add(now, 1.0)
        self._place(job)

    def _function(self, request: i.Request) -> Function:
        """The state of the request's function; those that have gone cold are dropped."""
        now, key = self.now, request.function
        function = self.functions.pop(key, None)
        if function is None:
            function = Function(mix(key))
            while self.functions:
                oldest = next(iter(self.functions))
                if now - self.functions[oldest].used < 2 * max(self.s.keep_alive, self.popular.time):
                    break
                self.loads_out -= len(self.functions.pop(oldest).loading)
        self.functions[key] = function
        function.used = now
        function.lanes = max(request.lanes or 1.0, 1.0)
        self.popular.called(now, function.calls, self.rate)
        self.calls.add(now, 1.0)
        self.jam.call(now)
        self.began = min(self.began, now)
        self._measure()
        return function

    def _refuses(self, job: Open, over: float) -> bool:
        """Early refusal of what cannot be answered in time, by worth for its time and tenant share."""
        left, expected = job.request.give_up - self.now, self._expected(job)
        if left < CANNOT * expected:
            return True
        value = max(job.klass.worth, 1e-6) / max(self._work(job.request.klass), 1.0)
        self.value.add(value)
        aim = min(left, job.klass.aim + job.klass.aim_stretch * expected)
        # Between a class's own time and one time for all, later for those of more worth: what has little time
        # is not refused first for that alone, nor is what has much of it never.
        aim = math.sqrt(max(aim, 1.0) * self.aims * value / self.value.mean)
        late, bent = self.jam.strength(self.now, aim, self._unbroken()), None
        if self.advice is not None:
            least = min(klass.aim for klass in self.s.classes)
            jam = self.jam.strength(self.now, least, self._unbroken())
            bent = self.advice.arrived(self.now, job, value, self.jam.fill(self.now, least), jam)
        if late <= 0.0 and not bent:
            return False
        late *= REPEAT if job.request.repeat else 1.0
        part = min(SHED_MOST, late * min(max(over, 0.5), 2.0) ** 2 * math.sqrt(self.value.mean / value))
        part = part if bent is None else min(SHED_MOST, bent * (REPEAT if job.request.repeat else 1.0))
        self._log("shed", f"refusing {part:.2f} of calls like one that could not be answered in time")
        return self.rng.random() < part

    def _unbroken(self) -> Iterator[int]:
        return (worker for worker, view in self.workers.items() if not view.broken)

    def _place(self, job: Open) -> None:
        """Send the request to the nearest eligible worker, or hold it, or end it."""
        self.held.pop(job.request.request, None)
        if len(job.attempts) >= self.s.limits.attempts or not self._may_move(job):
            return self._give_up(job)
        view = self._choose(job)
        if view is not None and self.s.on_miss is i.OnMiss.MISS and self.s.orders:
            view = self._order(job, view)
        if self.advice is not None and self.advice.level(self.now):
            self._displace(job, view)
        if view is not None and not self._waits(job, view) and self._begins(job, view):
            return self._send(job, view)
        if any(a.pending for a in job.attempts):
            return
        # What has not been sent by half of its time had better be told so: its client can still go elsewhere.
        half = job.at + HELD_PART * (job.request.give_up - job.at)
        if self.now + HOLD > (job.request.give_up - LEAST_LEFT if job.may_have_run() else half):
            return self._give_up(job)
        if self.look_at == math.inf:
            self.look_at = self.now + HOLD
            self._due(self.look_at)
        self.held[job.request.request] = job

    def _displace(self, job: Open, view: WorkerView | None) -> None:
        """A call that would be late may take the place of one that contracts rank lower, if that may go."""
        assert self.advice is not None
        number = self.advice.victim(self.now, job, view, self._expected(job), self.open, self.held)
        if number is not None and (other := self.open.get(number)) is not None:
            self._log("preempt", f"call {number} of class {other.klass.name} gives way: {other.reason}")
            self._give_up(other)

    def _begins(self, job: Open, view: WorkerView) -> bool:
        """May the call go there, if that begins a load? Freezes bound it, and returns of many at once do."""
        advice = self.advice
        if advice is None or not advice.holds or self._stands(job, view):
            return True
        return advice.may_load(self.now, job, view, self._standing(job, job.klass.effect is i.Effect.SAFE))

    def _stands(self, job: Open, view: WorkerView) -> bool:
        """Is a copy known to stand there: found by own calls, or told by others?"""
        found = job.function.proven.get(view.entry.worker, -math.inf)
        told = job.function.told.get(view.entry.worker)
        return self.now - found <= self.s.keep_alive or (told is not None and told.age is not None)

    def _standing(self, job: Open, safe: bool) -> bool:
        """Does a copy stand with room at any worker where the call may go?"""
        near = (self.workers[w] for w in job.function.warmth if w in self.workers)
        return any(
            self._allowed(job, v)
            and health.sound(v, self.now, safe)
            and self._reached(v, safe)
            and self._stands(job, v)
            and v.pending + v.elsewhere < job.function.lanes * FACTOR
            for v in near
        )

    def _waits(self, job: Open, view: WorkerView) -> bool:
        """Had the call better wait for a copy than begin a load? Who does not hear all others can't tell."""
        function, request = job.function, job.request
        if self.talk is None or job.attempts or self.talk.heard_from(self.now) < HEARD:
            return False
        warm = self._warmth(function, view.entry.worker) > 0.0
        told = {
            w: copy for w, copy in function.told.items() if w in self.workers and not self.workers[w].broken
        }
        load = self.loads.mean or request.load_time or job.klass.aim
        times = (self.now - job.at, self._expected(job), load)
        return function.queue.waits(request.request, view.entry.worker, warm, told, function.lanes, times)

    def _may_move(self, job: Open) -> bool:
        """Rule 2: may the request be sent at all, after what it went through."""
        ran = job.may_have_run()
        if not ran or job.klass.effect is i.Effect.SAFE:
            return True
        return job.klass.effect is i.Effect.KEYED and self.now < ran[0].at + job.klass.window - LEAST_LEFT

    def _allowed(self, job: Open, view: WorkerView) -> bool:
        """Rules 2 and 3: may this request go to this worker."""
        if view.entry.state is not i.WorkerState.READY:
            return False
        if job.klass.effect is not i.Effect.KEYED or job.klass.group is i.Group.ALL:
            return True
        ran = [a.worker for a in job.may_have_run()]
        if job.klass.group is i.Group.ZONE:
            return all(worker.zone == view.entry.zone for worker in ran)
        return all(worker.cell == view.entry.cell for worker in ran)

    def _choose(self, job: Open) -> WorkerView | None:
        """The eligible worker with the smallest load-balanced distance, ties at random."""
        tried = {a.worker.worker for a in job.attempts}
        safe, work = job.klass.effect is i.Effect.SAFE, self._work(job.request.klass)
        told = self.talk.copies(self.now, job.request.function) if self.talk is not None else {}
        advice = self.advice if self.advice is not None and self.advice.holds else None
        if advice is not None:
            told = advice.copies(self.now, job.request.function) | told
        if told or job.function.told:
            self._hear(job.function, told)
        standing = advice is not None and self._standing(job, safe)
        self._watch()
        for again, sick in ((False, False), (True, False), (True, True)):
            best, ties = math.inf, 0
            found: WorkerView | None = None
            for view, far in self._near(job):
                if advice and not advice.passes(self.now, job, view, self._stands(job, view), standing):
                    continue
                if not self._allowed(job, view) or (not again and view.entry.worker in tried):
                    continue
                if not (sick or health.sound(view, self.now, safe)) or not self._reached(view, safe):
                    continue
                if not self._cold_fits(view, work):
                    continue
                distance = self._distance(job.function, view, job.key) + far
                if view.broken and not sick:  # half-open: nobody would choose it, and it would stay out
                    distance -= view.trouble + TRIAL
                if distance < best - 1e-9:
                    best, ties, found = distance, 1, view
                elif distance <= best + 1e-9:
                    ties += 1
                    if self.rng.random() * ties < 1.0:
                        found = view
                if far > SPARE * RANK_STEP and best < math.inf:
                    break
            if found is not None:
                return found
        return None

    def _reached(self, view: WorkerView, safe: bool) -> bool:
        """A call into a silent zone is lost with its time; where all are silent, that tells nothing."""
        return self.blind or self.reach.open(self.now, view.entry.zone, safe)

    def _watch(self) -> None:
        """Zones that have fallen silent: what may be repeated elsewhere is called back from there."""
        if self.now == self.stalled or not (zones := self.reach.cut(self.now)):
            return
        self._count()
        self._log("cut", f"nothing comes from zones {zones}")
        for job in self.open.values():
            last = job.attempts[-1] if job.attempts else None
            if last is None or not last.pending or last.worker.zone not in zones or job.streaming:
                continue
            number = len(job.attempts) - 1
            free = job.klass.effect is i.Effect.SAFE or job.klass.group is i.Group.ALL
            if free and self._may_move(job) and self.s.limits.cancel and job.called_back < number:
                job.called_back = number
                self.out.append(i.Cancel(job.request.request, number))

    def _hear(self, function: Function, told: dict[int, Copy]) -> None:
        """A copy that another router found stands as a home does."""
        function.told = told
        for worker, copy in told.items():
            found = -math.inf if copy.age is None else self.now - copy.age
            if worker in self.workers and found > function.sent_at.get(worker, -math.inf):
                function.warmth[worker] = max(function.warmth.get(worker, 0.0), HOME_WARM)
                function.sent_at[worker] = found

    def _near(self, job: Open) -> Iterator[tuple[WorkerView, float]]:
        """Warm workers, then the function's homes, then the others, with what their place adds.

        Homes come by weighted rendezvous hashing: gateways that share nothing agree on them, and their number
        follows the function's part of the calls, which every gateway's own traffic shows."""
        function = job.function
        if function.epoch != self.epoch:
            function.epoch, function.order = self.epoch, self._ranked(function)
        order: Sequence[WorkerView] = function.order
        homes = self._homes(function)
        if self.advice is not None and self.advice.holds:
            order, homes = self.advice.homes(self.now, job.request.function, order, homes)
        for worker in list(function.warmth):
            if self._warmth(function, worker) > 0.0 and worker in self.workers:
                yield self.workers[worker], 0.0
        place = 0
        for view in order:
            if view.entry.state is not i.WorkerState.READY:
                continue
            place += 1
            lent = max(0.0, HOME_WARM - function.warmth.get(view.entry.worker, 0.0))
            shared = SPREAD * (view.ration - 1.0) - lent if homes > 1 else 0.0
            yield view, shared if place <= homes else min(place - homes, SPARE + 1) * RANK_STEP

    def _homes(self, function: Function) -> int:
        part = self.popular.part(self.now, function.calls)
        if self.talk is not None:  # who knows where others found copies need not guess where they would
            part *= 1.0 - self.talk.heard_from(self.now)
        kept = self.rate * self.fleet * self.s.keep_alive / HOME_CALLS
        return 1 + int(part * min(self.homes * len(self.workers), kept))

    def _measure(self) -> None:
        """Once a call: own calls a ms, right after the start too, and how rare those to one worker are."""
        known = 1.0 - math.exp(-max(1.0, self.now - self.began) / RATE_TIME)
        self.rate = self.calls.read(self.now) / RATE_TIME / known
        wanted = SEEN_ANSWERS * len(self.workers) / self.rate
        self.memory = min(max(wanted, SEEN_TIME), SEEN_MOST)
        self.scarce = self.memory / SEEN_TIME
        self.normal = self.usual.read(self.now, FAINT)

    def _ranked(self, function: Function) -> list[WorkerView]:
        sized = self.s.weights in (i.Weights.NOMINAL, i.Weights.ROUGH)

        def place(view: WorkerView) -> float:
            return rank(function.mix, view.salt, view.entry.weight if sized and view.entry.weight else 1.0)

        return sorted(self.workers.values(), key=place)

    def _warmth(self, function: Function, worker: int) -> float:
        warmth = function.warmth.get(worker, 0.0)
        if warmth and (warmth < FAINT or self.now - function.sent_at[worker] > self.s.keep_alive):
            del function.warmth[worker], function.sent_at[worker]
            return 0.0
        return warmth

    def _distance(self, function: Function, view: WorkerView, key: tuple[int, int | None]) -> float:
        out = view.pending + ELSEWHERE * view.elsewhere
        if (copy := function.told.get(view.entry.worker)) is not None:
            out += copy.out  # these take its very lanes
        load = out / function.lanes + view.load(self.now) + self._crowded(view)
        turned = view.turned.get(key)
        guard = view.trouble + (turned.read(self.now) if turned else 0.0)
        guard += self.abroad if view.entry.zone != self.s.zone else 0.0
        return 1.0 - function.warmth.get(view.entry.worker, 0.0) + load / FACTOR + guard

    def _send(self, job: Open, view: WorkerView) -> None:
        worker, function, request = view.entry.worker, job.function, job.request
        cold = self.now - function.proven.get(worker, -math.inf) > self.s.keep_alive
        load = (self.loads.mean or request.load_time or job.klass.aim) if cold else 0.0
        expected = self._expected(job) + load
        view.trial_out = view.trial_out or view.broken
        attempt = Attempt(
            view.entry, self.now, expected, job.key, cold, view.broken, function.service.count > 0
        )
        attempt.cost, job.cost = job.cost, 0.0
        job.attempts.append(attempt)
        view.pending += 1
        if not cold:
            self.jam.sent(worker)
        function.warmth = {other: (1.0 - ALPHA) * warmth for other, warmth in function.warmth.items()}
        function.warmth[worker] = function.warmth.get(worker, 0.0) + ALPHA
        function.sent_at[worker] = self.now
        if self._part(view) < 1.0:
            view.sent.append((self.now, self._work(request.klass)))
        function.queue.leave(request.request)
        this = (request.request, len(job.attempts) - 1)
        self.reach.sent(self.now, this, worker, view.entry.zone, self._expected(job))
        self.out.append(i.Send(request.request, worker))
        times = HEDGE if self.s.limits.second_copies else LATE
        self._due(self.now + times * expected, request.request, len(job.attempts) - 1)

    # What is expected of a worker.

    def _expected(self, job: Open) -> float:
        """Service time of a warm call, by the hint, else function, else class, else the aim."""
        if job.request.work is not None and self.by_work[job.request.klass].count:
            return job.request.work * self.by_work[job.request.klass].mean
        if job.function.service.count:
            return job.function.service.mean
        return self._work(job.request.klass)

    def _work(self, klass: int) -> float:
        """Rule 4 counts the mean work of a class; its usual service time stands for it."""
        return self.by_class[klass].mean or self.s.classes[klass].aim / FIRST_GUESS

    def _part(self, view: WorkerView) -> float:
        """The part of its capacity that a worker has at least, by its told start or what looked like one."""
        age = self.now - max(view.entry.started or -math.inf, view.down_at)
        return slow_start.part(self.s.rules, age)

    def _cold_fits(self, view: WorkerView, work: float) -> bool:
        """Slow start: whether this router may send a worker that started lately one more call."""
        if (part := self._part(view)) >= 1.0:
            return True
        # Counted anew by what calls need now: what the first guess made of them may be several times that.
        demand = sum(d.read(self.now) * self._work(klass) for klass, d in enumerate(self.demand))
        # Where others have left, the demand for each that is ready is more than one can carry.
        share = part * demand / RATE_TIME / max(1.0, self.ready, self.most.read(self.now))
        return slow_start.fits(self.s.rules, self.now, view.sent, view.ration, share, work)

    # Health.

    def retune(self, settings: i.Settings) -> None:
        """New settings whose classes only add to the old ones: open requests keep theirs."""
        added = range(len(self.s.classes), len(settings.classes))
        self.by_class += [Ewma() for _ in added]
        self.by_work += [Ewma() for _ in added]
        self.demand += [Fading(RATE_TIME) for _ in added]
        self._follow(settings)

    def _follow(self, settings: i.Settings) -> None:
        """What hangs on the settings alone."""
        self.s, told = settings, settings.report_columns
        self.most.time = max(1.0, settings.rules.cold_time)
        self.aims = sum(klass.aim for klass in settings.classes) / max(1, len(settings.classes))
        self.homes = HOMES / (1.0 + IDLE_WEIGHT * settings.prices.idle_memory)
        self.abroad = ABROAD * settings.prices.cross_zone
        self.inflight = told.index("inflight") if "inflight" in told else -1

    def reported(self, event: i.AttemptEnded) -> tuple[float, float] | None:
        """The calls that a worker says to hold, and how many of them are this router's."""
        view = self.workers.get(event.worker)
        if view is None or not 0 <= self.inflight < len(event.report):
            return None
        held = event.report[self.inflight]
        return None if held is None else (held, float(view.pending))

    def listed(self) -> i.Membership:
        """All workers as they are listed now."""
        return i.Membership(i.ListKind.CACHED, 0, tuple(view.entry for view in self.workers.values()))

    def skipped(self) -> int:
        """Listed workers that calls now pass by: set aside, or not ready."""
        listed = [v for v in self.workers.values() if v.entry.state is not i.WorkerState.GONE]
        return sum(v.broken or v.entry.state is not i.WorkerState.READY for v in listed)

    def _symptom(
        self, view: WorkerView, bad: float, cap: float = EJECT_CAP, gain: float = TROUBLE_GAIN
    ) -> None:
        """Feed one observation, 0 sound to 1 broken, and open or close the breaker by it."""
        if health.symptom(view, self.workers.values(), bad, cap, gain):
            health.set_aside(view, self.now, self.scarce, self.rng)
            self._log("eject", f"worker {view.entry.worker} set aside")

    def _learn(self, event: i.AttemptEnded, attempt: Attempt) -> None:
        """What one outcome tells of its worker."""
        view = self.workers.get(event.worker)
        if view is None:
            return
        now, outcome, aim = self.now, event.outcome, max(self.s.classes[attempt.key[0]].aim, 1.0)
        self._reported(view, event.report)
        view.pending -= 1
        slow_start.ended(view.sent, attempt.at, left=not event.local)
        view.trial_out = view.trial_out and not attempt.trial
        if outcome in (i.Outcome.OK, i.Outcome.FULL):
            view.last_answer = now
        if now == self.stalled:
            return
        if outcome is i.Outcome.OK:
            if attempt.key in view.turned:
                view.turned[attempt.key].move(now, 0.5, 0.0)
            if not attempt.cold:
                others = CROWD_PART * max(0, (event.crowd or 0) - 1)
                over = max(event.took / max(attempt.expected, 1.0) - 1.0, others)
                view.seen.add(now, over, self.memory)
            view.trouble = min(view.trouble, EJECT / 2) if attempt.trial else view.trouble
            self._symptom(view, 0.0)
        elif outcome is i.Outcome.FULL:
            view.turned.setdefault(attempt.key, Fading(TURNED_TIME)).move(now, 0.5, 2.0)
            view.seen.add(now, max(view.load(now), aim / max(attempt.expected, 1.0)), self.memory)
        elif (blame := health.blame(view, now, event, attempt, self.scarce)) is not None:
            self._symptom(view, 1.0, *blame)
            if attempt.trial and view.broken:
                health.set_aside(view, now, self.scarce, self.rng)

    def _reported(self, view: WorkerView, report: tuple[float | None, ...]) -> None:
        """What others have out there: most of its load where gateways are many and each sends it little."""
        if 0 <= self.inflight < len(report) and (held := report[self.inflight]) is not None:
            others = max(0.0, held - view.pending)
            view.holds.add(self.now, others, REPORT_PART * self.memory)
            self.usual.add(self.now, others, RATE_TIME)

    def _crowded(self, view: WorkerView) -> float:
        """Requests of others there beyond what workers hold usually: nothing where nothing is known."""
        beyond = view.holds.read(self.now, SEEN_PRIOR, self.normal) - self.normal
        return OTHERS_PART * self.scarce * beyond

    def _check(self, number: int, job: Open) -> None:
        """An attempt that is out for long: silence is a symptom; safe requests get another try in time."""
        attempt = job.attempts[number]
        if not attempt.pending or job.streaming:
            return
        if self.now == self.stalled:  # what came meanwhile is read first
            return self._due(self.now + STALL, job.request.request, number)
        view = self.workers.get(attempt.worker.worker)
        silent, age = view is None or view.last_answer < attempt.at, self.now - attempt.at
        if view is not None and silent and not attempt.overdue and age >= LATE * attempt.expected:
            attempt.overdue = True
            self._symptom(view, 1.0, SILENT_CAP)
        expected = self._expected(job)
        if job.request.give_up - self.now <= expected or job.klass.effect is i.Effect.UNSAFE:
            return
        if self.budget >= 1.0 and len(job.attempts) < self.s.limits.attempts and job.called_back < number:
            second = self.s.limits.second_copies and (silent or age >= HEDGE * attempt.expected)
            if second or (self.s.limits.cancel and (view is None or view.broken)):
                job.called_back = number
                if not second:
                    self.out.append(i.Cancel(job.request.request, number))
                elif self._may_move(job):
                    self.budget -= 1.0
                    self._place(job)
                return
        self._due(self.now + max(expected, LEAST_LEFT), job.request.request, number)

    # Outcomes.

    def _ended(self, event: i.AttemptEnded) -> None:
        job = self.open.get(event.request)
        if job is None:  # closed before; the outcome still tells of its worker
            attempt = self.late.pop((event.request, event.attempt), None)
        else:
            attempt = job.attempts[event.attempt] if event.attempt < len(job.attempts) else None
        if attempt is None or not attempt.pending:
            return
        attempt.pending = False
        if not attempt.cold:
            self.jam.ended(self.now, event.worker, event.outcome is i.Outcome.OK)
        attempt.may_have_run = event.outcome not in i.NEVER_RAN
        if event.local:  # nobody has had it
            self.budget = min(self.budget + attempt.cost, RETRY_MOST)
        this, dial = (event.request, event.attempt), event.outcome is i.Outcome.CONNECT_FAILED
        answers = event.outcome in _ANSWERS
        if self.reach.ended(self.now, this, answers, event.took, dial and event.unreached):
            self._count()
        self._learn(event, attempt)
        if job is None:
            return
        self._learn_function(event, attempt, job)
        if event.final:
            self._close(job)
        elif event.outcome is not i.Outcome.OK and not any(a.pending for a in job.attempts):
            self._move(job, event.outcome)
        # A lane is free: two leave for it. With one it would stand empty until the next call comes there.
        for request in [one for one in job.function.queue.waiting if one in self.held][:SPARE]:
            self._place(self.held[request])

    def _learn_function(self, event: i.AttemptEnded, attempt: Attempt, job: Open) -> None:
        function = job.function
        if event.outcome is i.Outcome.OK:
            function.proven[event.worker] = self.now
            function.queue.answered(event.worker, event.note is i.CopyNote.BEGAN)
            for doubted in [a for a in job.attempts if a.doubted and a.worker.worker in self.workers]:
                self._symptom(self.workers[doubted.worker.worker], 1.0, gain=TROUBLE_MOST)
            if event.note in (i.CopyNote.BEGAN, i.CopyNote.AWAITED):
                self.loads.add(max(0.0, event.took - self._expected(job)))
            else:
                function.service.add(event.took)
                self.by_class[job.request.klass].add(event.took)
                if job.request.work is not None:
                    self.by_work[job.request.klass].add(event.took / job.request.work)
                function.warmth[event.worker] = 1.0
                function.sent_at.setdefault(event.worker, attempt.at)
        elif event.outcome is i.Outcome.MISS or event.note is i.CopyNote.LOAD_FAILED:
            function.warmth.pop(event.worker, None)
            function.proven.pop(event.worker, None)
            function.queue.copies.pop(event.worker, None)

    def _move(self, job: Open, outcome: i.Outcome) -> None:
        """Try the next-nearest worker, within the retry budget; moves proved harmless and cheap are free."""
        cost = 0.0 if outcome in (i.Outcome.CONNECT_FAILED, i.Outcome.MISS) else 1.0
        over = job.request.give_up - self.now <= LEAST_LEFT or outcome is i.Outcome.MOOT
        if over or self.budget < cost:
            return self._give_up(job)
        self.budget -= cost
        job.cost = cost
        self._place(job)

    def _give_up(self, job: Open) -> None:
        """The final answer: refused where that is harmless, else failed."""
        keyed_all = job.klass.effect is i.Effect.KEYED and job.klass.group is i.Group.ALL
        if job.klass.effect is i.Effect.SAFE or keyed_all or not job.may_have_run():
            parts = COME_BACK if self.advice is None else self.advice.come_back(self.now)
            after = self.s.limits.max_retry_after * self.rng.uniform(*parts)
            told = after if self.s.limits.retry_after and after > 0 else None
            self.out.append(i.Refuse(job.request.request, told, job.reason))
            if self.advice is not None and not job.reason:
                self.advice.refused(self.now, job)
        else:
            self.out.append(i.Fail(job.request.request))
        self._close(job)

    def _close(self, job: Open) -> None:
        self.open.pop(job.request.request, None)
        self.held.pop(job.request.request, None)
        job.function.queue.leave(job.request.request)
        for number, attempt in enumerate(job.attempts):
            if attempt.pending:
                self.late[(job.request.request, number)] = attempt
        if not job.streaming:
            self._cancel(job, -1)

    def _cancel(self, job: Open, but: int) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.pending and number != but and self.s.limits.cancel:
                self.out.append(i.Cancel(job.request.request, number))

    def _stream(self, event: i.StreamBegan) -> None:
        if (job := self.open.get(event.request)) is not None:
            job.streaming = True
            self._cancel(job, event.attempt)
        if (view := self.workers.get(event.worker)) is not None:
            view.last_answer = self.now
            if self.reach.answered(self.now, view.entry.zone):
                self._count()

    def _gone(self, event: i.ClientGone) -> None:
        if (job := self.open.get(event.request)) is not None:
            self._close(job)

    # Orders to load, where a worker answers MISS.

    def _order(self, job: Open, chosen: WorkerView) -> WorkerView | None:
        """Where to send now; a cold choice is ordered to load, and a warm worker serves meanwhile, if any."""
        function, worker = job.function, chosen.entry.worker
        if self._warmth(function, worker) > 0:
            return chosen
        wanted = worker not in function.loading and self.now >= function.order_after
        if wanted and self._may_order() and self._begins(job, chosen):
            function.loading.add(worker)
            self.loads_out += 1
            self.ordered.append(self.now)
            self.out.append(i.Order(worker, job.request.function, 1))
        near = [self.workers[w] for w in list(function.warmth) if w in self.workers]
        warm = [v for v in near if self._allowed(job, v) and health.sound(v, self.now, True)]
        work = self._work(job.request.klass)
        warm = [v for v in warm if self._warmth(function, v.entry.worker) > 0 and self._cold_fits(v, work)]
        return min(warm, key=lambda v: self._distance(function, v, job.key)) if warm else None

    def _may_order(self) -> bool:
        """Under this gateway's part of what the fleet may load at once, and inside the ration of rule 5."""
        share = len(self.workers) / self.fleet
        return orders.may_order(self.s.rules, self.now, self.loads_out, share, self.ordered, self.taken)

    def _order_ended(self, event: i.OrderEnded) -> None:
        function = self.functions.get(event.function)
        if function is None or event.worker not in function.loading:
            return
        function.loading.discard(event.worker)
        self.loads_out -= 1
        if event.outcome is i.Outcome.OK and event.copies > 0:
            function.warmth[event.worker] = 1.0
            function.sent_at[event.worker] = self.now
            function.order_wait = 0.0
            self.loads.add(event.took)
        else:
            function.order_wait = min(max(2 * function.order_wait, self.loads.mean, 1.0), self.s.keep_alive)
            function.order_after = self.now + function.order_wait * self.rng.uniform(0.5, 1.0)
        self._pump()

    # Time.

    def _due(self, at: float, request: int = -1, attempt: int = 0) -> None:
        self.serial += 1
        heapq.heappush(self.agenda, (at, self.serial, request, attempt))

    def _pump(self) -> None:
        for job in list(self.held.values()):
            self._place(job)

    def _tick(self, event: i.TimerDue) -> None:
        if event.token != self.timer:
            return
        self.timer_at = math.inf
        while self.agenda and self.agenda[0][0] <= self.now + 0.5:  # due times come rounded
            _, _, request, attempt = heapq.heappop(self.agenda)
            if (job := self.open.get(request)) is not None:
                self._check(attempt, job)
        if self.now >= self.ask_at:
            self.ask_at = math.inf
            self.asked = True
            self.out.append(i.Subscribe(True))
        if self.now >= self.look_at - 0.5:
            self.look_at = math.inf
            self._pump()

    def _log(self, kind: str, text: str) -> None:
        if self.now - self.logged.get(kind, -math.inf) >= LOG_EVERY:
            self.logged[kind] = self.now
            self.out.append(i.Log(f"{kind}: {text}"))
