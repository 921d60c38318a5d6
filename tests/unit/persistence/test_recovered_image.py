"""The encoding of a router's state in its store, and the assessment of the content after a restart."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.persistence import faulty_disk
from cedarthread.persistence.recovered_image import (
    ContentVerdict,
    RecoveredImage,
    RouterIncarnation,
    assess_content,
    decode_image,
    encode_entry,
    encode_incarnation,
)
from cedarthread.persistence.store import LoadResult, StoreFault

ENTRY = Entry(
    EntryKind.FREEZE,
    "close",
    Version(counter=7, author=3, incarnation=2**64 - 1),
    b"body",
    replaces_digest=2**127 + 5,
)
INCARNATION = RouterIncarnation(
    router_index=3, process_incarnation=2**63, membership_incarnation=9, is_voter=True
)
OPAQUE_VALUES = {"warm": b"owner's", "grants": b"too"}
VALUES = dict([encode_incarnation(INCARNATION), encode_entry(ENTRY), *OPAQUE_VALUES.items()])


def test_an_image_decodes_as_encoded() -> None:
    assert decode_image(VALUES) == RecoveredImage(INCARNATION, (ENTRY,), b"owner's", b"too")


def test_invalid_values_are_rejected_and_counted() -> None:
    key, raw = encode_entry(ENTRY)
    values = {
        "life": raw,  # a record of another kind
        "entry/freeze/other": raw,  # under the key of another entry
        "strange": b"",
        "entry/x": b"\xdd\xff\xff\xff\xff",  # truncated
        key: raw,  # valid
    }
    image = decode_image(values)
    assert image.rejected_count == 4 and image.entries == (ENTRY,)
    assert image.incarnation is None and image.warm_state is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(sorted(set(VALUES) - set(OPAQUE_VALUES))),
    st.binary(max_size=60),
    st.integers(0, 2**16),
    st.booleans(),
)
def test_no_bytes_raise_and_each_value_has_one_encoding(key: str, raw: bytes, bit: int, is_raw: bool) -> None:
    value = raw if is_raw else faulty_disk.flip_bit(VALUES[key], bit % (8 * len(VALUES[key])))
    image = decode_image({key: value})
    encoded_again = [encode_entry(entry) for entry in image.entries]
    if image.incarnation is not None:
        encoded_again.append(encode_incarnation(image.incarnation))
    assert len(encoded_again) <= 1
    assert image.rejected_count or encoded_again == [(key, value)]


def test_only_content_no_older_than_peers_remember_is_trusted() -> None:
    load_result = LoadResult({"a": b""}, 7)
    assert assess_content(load_result, []) is ContentVerdict.TRUSTED
    assert assess_content(load_result, [3, 7]) is ContentVerdict.TRUSTED
    assert assess_content(load_result, [3, 8]) is ContentVerdict.REJECTED
    corrupted = replace(load_result, fault=StoreFault.CORRUPTED)
    assert assess_content(corrupted, [7]) is ContentVerdict.PARTIAL


def test_only_the_canonical_encoding_is_read_and_only_under_its_key() -> None:
    raw = encode_incarnation(INCARNATION).value
    assert decode_image({"life": raw}).incarnation == INCARNATION
    router_index_in_two_bytes = raw[:1] + b"\xcc" + raw[1:]
    assert decode_image({"life": router_index_in_two_bytes}).rejected_count == 1
    assert decode_image({"life/more": raw}).rejected_count == 1
