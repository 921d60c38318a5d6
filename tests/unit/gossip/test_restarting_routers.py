"""Three routers that restart one after the other, with lossy gossip between them."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import pytest

from cedarthread.model.actions import Action, FailRequest, RejectRequest, SendToPeer, SetTimer, StartAttempt
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from cedarthread.node.routing_node import RoutingNode
from tests.helpers import settings
from tests.unit.gossip.builders import EIGHT_WORKERS, gossip_of

if TYPE_CHECKING:
    from cedarthread.model.instance_load import InstanceLoad

ROUTER_COUNT = 3
FUNCTION_COUNT = 12
STEP_MS = 10.0
STEPS = 1000
STEPS_WITH_REQUESTS = 900
RESTART_STEPS = (400, 550, 700)  # steps at which routers 0, 1 and 2 restart
DELIVERED_FRACTION = 0.9


class Timer(NamedTuple):
    at_ms: float
    node: RoutingNode
    token: int


class AttemptStart(NamedTuple):
    step: int
    known_load: InstanceLoad | None  # what the router knew of the function's load at the worker


class RestartingRouters:
    """The routers, the datagrams and timers between them, and the answers that they gave."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.step = 0
        self.last_request_id = 0
        self.nodes = [self.start(router_index) for router_index in range(ROUTER_COUNT)]
        self.answers: dict[int, int] = {}  # number of answers by request id
        self.attempt_starts: list[AttemptStart] = []
        self.lost_requests: set[int] = set()  # in flight at a router when it restarted
        self.timers: list[Timer] = []
        self.events: deque[tuple[int, Event]] = deque()  # router index and event

    def start(self, router_index: int) -> RoutingNode:
        """Return a new router that knows only its endpoint list."""
        own_settings = settings(router_index=router_index, router_count=ROUTER_COUNT)
        node = RoutingNode(own_settings, seed=self.rng.getrandbits(32))
        node.handle(self.now_ms, EIGHT_WORKERS)
        return node

    def run_step(self, step: int) -> None:
        """Restart a router if due, then handle one request, the due timers and all resulting events."""
        self.step = step
        self.now_ms += STEP_MS
        if step in RESTART_STEPS:
            router_index = RESTART_STEPS.index(step)
            self.lost_requests |= set(self.nodes[router_index].router.pending_requests)
            self.nodes[router_index] = self.start(router_index)
        if step < STEPS_WITH_REQUESTS:
            self.add_request()
        self.add_due_timers()
        while self.events:
            router_index, event = self.events.popleft()
            for action in self.nodes[router_index].handle(self.now_ms, event):
                self.perform(router_index, action)

    def add_request(self) -> None:
        self.last_request_id += 1
        request = RequestArrived(
            self.last_request_id,
            self.last_request_id % FUNCTION_COUNT,
            0,
            self.now_ms + 3000.0,
            load_time_ms=400.0,
        )
        self.events.append((self.rng.randrange(ROUTER_COUNT), request))

    def add_due_timers(self) -> None:
        due = [timer for timer in self.timers if timer.at_ms <= self.now_ms]
        self.timers = [timer for timer in self.timers if timer.at_ms > self.now_ms]
        for timer in due:
            if timer.node in self.nodes:
                self.events.append((self.nodes.index(timer.node), TimerFired(timer.token)))

    def perform(self, router_index: int, action: Action) -> None:
        if isinstance(action, SendToPeer):
            message = PeerMessageReceived(router_index, action.data)
            for peer_index in range(ROUTER_COUNT):
                is_addressed = peer_index != router_index and action.peer_index in (None, peer_index)
                if is_addressed and self.rng.random() < DELIVERED_FRACTION:
                    self.events.append((peer_index, message))
        elif isinstance(action, StartAttempt):
            known_loads = gossip_of(self.nodes[router_index]).instances(
                self.now_ms, action.request_id % FUNCTION_COUNT
            )
            self.attempt_starts.append(AttemptStart(self.step, known_loads.get(action.worker_id)))
            ended = AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 50.0, True)
            self.events.append((router_index, ended))
            self.count_answer(action.request_id)
        elif isinstance(action, (RejectRequest, FailRequest)):
            self.count_answer(action.request_id)
        elif isinstance(action, SetTimer):
            self.timers.append(Timer(action.at_ms, self.nodes[router_index], action.token))

    def count_answer(self, request_id: int) -> None:
        self.answers[request_id] = self.answers.get(request_id, 0) + 1


@pytest.mark.parametrize("seed", range(3))
def test_routers_that_restart_within_seconds_answer_each_call_once_and_start_warm(seed: int) -> None:
    routers = RestartingRouters(seed)
    for step in range(STEPS):
        routers.run_step(step)
    answered_requests = set(range(1, routers.last_request_id + 1)) - routers.lost_requests
    assert routers.answers == dict.fromkeys(answered_requests, 1)
    assert len(routers.lost_requests) < 6
    was_known_warm = [
        start.known_load is not None and start.known_load.warm_age_ms is not None
        for start in routers.attempt_starts
        if start.step in range(560, 700)
    ]
    assert sum(was_known_warm) > 0.5 * len(was_known_warm), (
        "router 1 must learn the others' warm instances soon after its restart"
    )
