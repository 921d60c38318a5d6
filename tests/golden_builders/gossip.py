"""Datagrams of the load gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.gossip import codec
from cedarthread.gossip.codec import InstanceUpdate, LoadUpdate, WorkerUpdate
from cedarthread.gossip.load_gossip import LoadGossip
from tests.golden_builders.sample import FUNCTION_ID, DatagramCodec
from tests.helpers import settings

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample

GOSSIP_CODEC = DatagramCodec[LoadUpdate](codec.encode, codec.decode)


def build_gossip() -> list[Sample]:
    """Return one datagram of each form, then all datagrams of an exchange between two routers."""
    instances = (
        InstanceUpdate(codec.fold_function_id(FUNCTION_ID), 3, 1250.0),
        InstanceUpdate(1, 300, None),
    )
    workers = (WorkerUpdate(7, 12, instances), WorkerUpdate(2**32 - 1, 999))
    full = tuple(
        WorkerUpdate(number, number, (InstanceUpdate(number, 1, 100.0 * number),)) for number in range(20)
    )
    oldest = (WorkerUpdate(1, 0, (InstanceUpdate(2, 0, 1e9),)),)
    samples = GOSSIP_CODEC.samples(
        {
            "asks": LoadUpdate(0xDEADBEEF, 1, True, ()),
            "workers and copies": LoadUpdate(0xDEADBEEF, 77, False, workers),
            "filled up": LoadUpdate(1, 2**32 - 1, False, full),
            "oldest find": LoadUpdate(5, 6, True, oldest),
        }
    )
    return samples + _exchange()


def _exchange() -> list[Sample]:
    """Return the datagrams of two routers that report their calls to each other, in order."""
    first = LoadGossip(settings(router_count=3, router_index=0), 11, 0x01020304)
    second = LoadGossip(settings(router_count=3, router_index=1), 12, 0xF1F2F3F4)
    samples: list[Sample] = []
    now_ms = 0.0
    for step in range(12):
        for router_index, sender in enumerate((first, second)):
            receiver = second if sender is first else first
            for call in range(1 + step % 3):
                sender.on_first_attempt()
                sender.on_attempt_sent(1 + (step + call) % 4, FUNCTION_ID + 977 * call)
            if step > 2:
                is_loaded = (True, False, None)[step % 3]
                sender.on_attempt_ended(now_ms, 1 + step % 4, FUNCTION_ID, is_loaded=is_loaded)
            for action in sender.collect_due_datagrams(now_ms):
                name = f"exchange {step} of {router_index} for {action.peer_index}"
                samples.append(GOSSIP_CODEC.sample(name, action.data))
                receiver.on_message(now_ms, router_index, action.data)
        now_ms += 400.0
    return samples
