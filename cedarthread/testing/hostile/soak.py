"""Hostile clients and signals drawn from a seed, played against a real router and judged from outside.

    python -m cedarthread.testing.hostile.soak FIRST_SEED COUNT [DEFECT]

Each play has the same floods three times, then SIGTERM while all clients go on, and SIGKILL at the earliest
time that the operators allow. Rules: the process lives and stays under its memory limit; the third time
costs no more memory than the second; a calm client is served unless a crowd or a pause was drawn; no call of
a class that must not be repeated reaches workers twice; the log has no violated rule and no exception; the
process ends by itself after SIGTERM.
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, replace
from pathlib import Path

from cedarthread.testing.hostile.flood import FloodSpec, Style
from cedarthread.testing.hostile.messages import MessageKind
from cedarthread.testing.hostile.rig import (
    FloodResult,
    FloodRig,
    RigSetup,
    RouterUnderTest,
    WorkerProcess,
    finish_flood,
    start_flood,
)
from cedarthread.testing.hostile.workers import Behavior

ROUNDS = 3
ROUND_S = 2.5
CROWD_CONNECTIONS = 100
MAX_CONNECTIONS = 10
CALM_LIMIT_MS = 1000.0
MIN_CALM_SERVED = 0.95
# Memory may differ by this much between two equal loads, because of the allocator and the garbage collector.
NOISE_MB = 5.0
# By the operators' acceptance rules: the longest deadline, but at most 3 s, plus 0.7 s.
SIGKILL_AFTER_SIGTERM_S = 3.7
CROWD_PROBABILITY = 0.25
PAUSE_PROBABILITY = 0.3
FAILURE_MARKERS = (" rule_violated ", "Traceback")


@dataclass(frozen=True, slots=True)
class Play:
    """What a seed draws."""

    seed: int
    setup: RigSetup
    floods: tuple[FloodSpec, ...]
    signals: tuple[tuple[float, signal.Signals], ...]  # time in s from the first round, and signal
    has_pause: bool

    def has_crowd(self) -> bool:
        """Return whether one of the floods has very many connections."""
        return any(flood.connections >= CROWD_CONNECTIONS for flood in self.floods)

    def is_calm_client_judged(self) -> bool:
        """Return whether a calm client must be served: no crowd, no pause, and workers that serve."""
        serves = self.setup.behavior in (Behavior.SERVE, Behavior.SERVE_LONG)
        return serves and not self.has_pause and not self.has_crowd() and self.leaves_capacity()

    def leaves_capacity(self) -> bool:
        """Return whether the workers have capacity left: clients that leave without CANCEL do not free it."""
        occupies = any(flood.style in (Style.CHURN, Style.RESET, Style.RETURN) for flood in self.floods)
        return self.setup.can_cancel or not occupies

    def describe(self) -> str:
        """Return the draw on one line."""
        floods = ", ".join(
            f"{flood.kind}/{flood.style} x{flood.connections}{'' if flood.reads else ' unread'}"
            for flood in self.floods
        )
        signals = ", ".join(f"{number.name} {at_s:.1f}" for at_s, number in self.signals)
        setup = self.setup
        deployment = f"{setup.memory_mb} MB, {setup.sockets}, {setup.behavior}, cancel {setup.can_cancel}"
        return f"{deployment}: {floods}; {signals}"


def draw_play(seed: int, defect: str = "") -> Play:
    """Return the play of a seed."""
    rng = random.Random(seed)
    setup = RigSetup(
        memory_mb=rng.choice((96, 128, 192)),
        sockets=rng.choice((384, 1024)),
        service_ms=rng.choice((5.0, 20.0)),
        behavior=rng.choice((Behavior.SERVE, Behavior.SERVE, Behavior.SERVE_LONG, Behavior.FAIL)),
        can_cancel=rng.random() < 0.5,
        defect=defect,
    )
    floods = [_draw_flood(rng) for _ in range(rng.randint(1, 3))]
    if rng.random() < CROWD_PROBABILITY:
        floods[0] = replace(floods[0], connections=CROWD_CONNECTIONS)
    has_pause = rng.random() < PAUSE_PROBABILITY
    return Play(seed, setup, tuple(floods), _draw_signals(rng, has_pause=has_pause), has_pause)


def _draw_flood(rng: random.Random) -> FloodSpec:
    return FloodSpec(
        kind=rng.choice(list(MessageKind)),
        style=rng.choice((Style.STREAM, Style.STREAM, *Style)),
        connections=rng.choice((1, 1, 4, MAX_CONNECTIONS)),
        reads=rng.random() < 0.7,
        window=rng.choice((0, 0, 32)),
        seconds=ROUND_S,
    )


def _draw_signals(rng: random.Random, *, has_pause: bool) -> tuple[tuple[float, signal.Signals], ...]:
    """Return a series of reloads and, if there is one, a pause in the second round."""
    reloads = [(rng.uniform(0.0, 2 * ROUND_S), signal.SIGHUP) for _ in range(rng.randint(0, 4))]
    pause: list[tuple[float, signal.Signals]] = []
    if has_pause:
        start_s = rng.uniform(ROUND_S, 2 * ROUND_S)
        pause = [(start_s, signal.SIGSTOP), (start_s + rng.uniform(0.2, 1.0), signal.SIGCONT)]
    return tuple(sorted(reloads + pause))


def _send_signals(play: Play, router: RouterUnderTest) -> threading.Thread:
    started_at_s = time.monotonic()

    def run() -> None:
        for at_s, number in play.signals:
            time.sleep(max(0.0, started_at_s + at_s - time.monotonic()))
            if router.process.poll() is None:
                router.process.send_signal(number)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _end_under_load(play: Play, router: RouterUnderTest) -> list[str]:
    """Send SIGTERM while the clients go on, and SIGKILL at the earliest; return what was wrong."""
    floods = [start_flood(router.port, replace(flood, seconds=1.0)) for flood in play.floods]
    time.sleep(0.5)
    router.process.send_signal(signal.SIGTERM)
    end_s = time.monotonic() + SIGKILL_AFTER_SIGTERM_S
    while router.process.poll() is None and time.monotonic() < end_s:
        time.sleep(0.01)
    exit_code = router.stop() if router.process.poll() is not None else None
    if exit_code is None:
        router.process.kill()
        router.stop()
    for process in floods:
        finish_flood(process)
    return [] if exit_code == 0 else [f"exit code {exit_code} after SIGTERM"]


def _judge(play: Play, results: list[FloodResult], router: RouterUnderTest) -> list[str]:
    """Return the violated rules of the rounds."""
    violations: list[str] = []
    if not all(result.is_alive for result in results):
        violations.append("the process ended by itself")
    peak_mb = max(result.peak_mb for result in results)
    if peak_mb >= play.setup.memory_mb:
        violations.append(f"memory: {peak_mb:.0f} MB of {play.setup.memory_mb}")
    growth_mb = results[-1].after_mb - results[-2].after_mb
    if growth_mb > NOISE_MB:
        violations.append(f"memory grows: {growth_mb:.1f} MB more after the same load")
    served = min(result.calm.served_within(CALM_LIMIT_MS) for result in results)
    if play.is_calm_client_judged() and served < MIN_CALM_SERVED:
        violations.append(f"calm client: {served:.2f} served in time")
    violations += [
        f"log: {line}"
        for line in router.log().splitlines()
        if any(marker in line for marker in FAILURE_MARKERS)
    ]
    return violations


def run_play(play: Play) -> list[str]:
    """Play, print a line with the figures, and return the violated rules."""
    with tempfile.TemporaryDirectory(prefix="cedarthread-") as folder:
        workers = WorkerProcess(play.setup)
        router = RouterUnderTest(Path(folder), play.setup, workers.ports)
        rig = FloodRig(router, workers)
        signals = _send_signals(play, router)
        results = [rig.run(play.floods) for _ in range(ROUNDS)]
        signals.join()
        violations = _judge(play, results, router)
        violations += _end_under_load(play, router)
        received_ids = workers.stop()
    repeated = len(received_ids) - len(set(received_ids))
    if repeated:
        violations.append(f"executed twice: {repeated} of {len(received_ids)}")
    peaks = "/".join(f"{result.peak_mb:.0f}" for result in results)
    served = "/".join(f"{result.calm.served_within(CALM_LIMIT_MS):.2f}" for result in results)
    health = max(result.calm.health_percentile_ms(0.5) for result in results)
    judged = "judged" if play.is_calm_client_judged() else "not judged"
    print(
        f"seed {play.seed}: peak {peaks} MB, calm {served} ({judged}), health {health:.0f} ms, "
        f"{'; '.join(violations) or 'held'} [{play.describe()}]",
        flush=True,
    )
    return violations


def main() -> int:
    """Play the seeds of the arguments; return 1 if a rule was violated."""
    first = int(sys.argv[1])
    count = int(sys.argv[2])
    defect = sys.argv[3] if len(sys.argv) > 3 else ""
    failed = [seed for seed in range(first, first + count) if run_play(draw_play(seed, defect))]
    print(f"{count - len(failed)} of {count} held; failed: {failed or 'none'}")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
