"""The peer query: rate limits of the server; backoff, peer selection and completion of the client."""

from __future__ import annotations

from cedarthread.recovery import codec, peer_query, segment_progress
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.warm_state import AgedObservation, WarmState, start_tag
from tests.helpers import worker
from tests.unit.recovery.builders import KEEP_ALIVE_MS, LONG_UPTIME_MS, empty_warm_state, endpoint_update


def always() -> bool:
    return True


def test_a_server_that_190_routers_query_at_once_sends_a_bounded_number_of_datagrams() -> None:
    template = codec.Response(0, 0, 1, 0.9, 9e5, (), codec.BaselineRates(0.5, 2.0))
    server = PeerQueryServer(0.0)
    warm_state = WarmState(KEEP_ALIVE_MS)
    warm_state.on_endpoint_update(0.0, endpoint_update(*(worker(number) for number in range(60))))
    for function_id in range(600):
        warm_state.record_local(0.0, function_id % 60, function_id, is_warm=True)
    kinds: list[int] = []
    for step in range(190 * 4):
        now_ms = step * 1000.0 / (190 * 4)
        sent = server.on_query(now_ms, step % 190, codec.Query(step, 0, 4), warm_state, template)
        kinds += [message.data[1] for message in sent]
    responses = kinds.count(codec.DatagramKind.RESPONSE)
    busy_replies = kinds.count(codec.DatagramKind.BUSY)
    assert responses <= peer_query.RESPONSES_PER_SECOND + peer_query.RESPONSE_BURST
    assert busy_replies <= peer_query.BUSY_REPLIES_PER_SECOND + peer_query.BUSY_REPLY_BURST
    assert server.answered_queries >= 5
    assert server.dropped_queries > 0


def test_a_busy_peer_suggests_another_and_is_not_queried_before_its_retry_after() -> None:
    client = PeerQueryClient(1, 0.0)
    uptimes_ms = {1: LONG_UPTIME_MS, 2: LONG_UPTIME_MS}
    first = client.on_tick(500.0, uptimes_ms, always)
    assert {message.peer_index for message in first} == {1, 2}  # one pending query per peer
    query = codec.decode(first[0].data)
    busy_peer = first[0].peer_index
    assert isinstance(query, codec.Query)
    assert busy_peer is not None
    client.on_busy(510.0, 3, codec.Busy(query.nonce, 1000.0))
    assert client.unexpected_count == 1  # because peer 3 was not queried
    client.on_busy(510.0, busy_peer, codec.Busy(query.nonce, 1000.0, 5))
    assert 5 in client.suggested_peers
    sent = [
        message for now_ms in range(600, 1000, 50) for message in client.on_tick(now_ms, uptimes_ms, always)
    ]
    assert busy_peer not in [message.peer_index for message in sent]
    assert any(client.on_tick(now_ms, uptimes_ms, always) for now_ms in range(1000, 3000, 50))


def test_the_query_ends_once_few_observations_are_new_and_prefers_peers_of_long_uptime() -> None:
    client = PeerQueryClient(2, 0.0)
    warm_state = empty_warm_state()
    now_ms = 500.0
    uptimes_ms = {peer: 60_000.0 if peer % 2 else 10.0 for peer in range(1, 41)}
    queried_peers: list[int] = []
    while not client.is_complete() and now_ms < 60_000.0:
        for message in client.on_tick(now_ms, uptimes_ms, always):
            assert message.peer_index is not None
            queried_peers.append(message.peer_index)
            query = codec.decode(message.data)
            assert isinstance(query, codec.Query)
            aged = AgedObservation(1, start_tag(50.0), query.segment, 100.0, True)
            response = codec.Response(query.nonce, 0, 1, 0.9, 6e4, (aged,))
            client.on_response(now_ms, message.peer_index, response, warm_state, has_older_peers=True)
        now_ms += 50.0
    max_queries = segment_progress.MIN_RESPONSES * peer_query.SEGMENT_COUNT + peer_query.MAX_PENDING_QUERIES
    assert len(queried_peers) <= max_queries
    assert client.reports.median_warm_fraction() == 0.9
    assert sum(peer % 2 for peer in queried_peers) >= 6
