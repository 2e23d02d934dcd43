"""Conditional writes to the platform that are retried until their outcome is known.

A write may take effect although its answer is lost, possibly even after a later read. So a write
with an unknown outcome is sent again with the same expected version until the platform gives a
definite answer; at most one of the attempts can take effect.
"""

from collections.abc import Callable
from typing import TypeVar

import trio
from google.protobuf import json_format
from google.protobuf.message import Message
from result import Err, Ok, Result

from yewloom.platforms import Platform, PlatformFailure, StoredObject
from yewloom.values import value_class

_RETRY_PAUSE_S = 0.1

MessageT = TypeVar("MessageT", bound=Message)


@value_class
class WriteConflict:
    """Another write came first.

    ``current`` is the stored object now; None if it is absent or could not be read.
    """

    current: StoredObject | None

    def __str__(self) -> str:
        return "another write came first"


@value_class
class WriteNotApplied:
    """The write is known to have had no effect."""

    detail: str


@value_class
class WriteOutcomeUnknown:
    """The write may have had an effect or may still have one."""

    detail: str


WriteError = WriteConflict | WriteNotApplied | WriteOutcomeUnknown


def to_json(message: Message) -> str:
    """Return a record as JSON text for the platform."""
    return json_format.MessageToJson(message, preserving_proto_field_name=True, indent=None)


class RecordError(Exception):
    """A record in the platform cannot be decoded."""


def parse_record(stored: StoredObject, record: MessageT) -> MessageT:
    """Decode a stored object into an empty record; raise RecordError if it is invalid."""
    try:
        return json_format.Parse(stored.value, record, ignore_unknown_fields=True)
    except json_format.ParseError as error:
        raise RecordError(f"cannot decode {stored.key}: {error}") from error


async def write_until_settled(
    platform: Platform,
    key: str,
    record: Message,
    expected_version: int,
    is_ours: Callable[[StoredObject], bool],
    timeout_s: float,
) -> Result[StoredObject, WriteError]:
    """Write a record conditionally and return the object stored after that.

    ``is_ours`` returns whether a stored object results from this write, or from a later write on
    top of it; so the returned object may be newer than the one written.
    """
    deadline_s = trio.current_time() + timeout_s
    value = to_json(record)
    is_ambiguous = False
    while True:
        match await platform.update(key, value, expected_version):
            case Ok(version):
                return Ok(StoredObject(key, version, value))
            case Err(error):
                pass
        if error.failure is PlatformFailure.CONFLICT:
            return await _settle_conflict(platform, key, is_ours, is_ambiguous)
        if error.failure is PlatformFailure.AMBIGUOUS:
            is_ambiguous = True
        if not is_ambiguous:
            return Err(WriteNotApplied(error.detail))
        if trio.current_time() >= deadline_s:
            return Err(WriteOutcomeUnknown(error.detail))
        await trio.sleep(_RETRY_PAUSE_S)


async def _settle_conflict(
    platform: Platform, key: str, is_ours: Callable[[StoredObject], bool], is_ambiguous: bool
) -> Result[StoredObject, WriteError]:
    match await platform.get(key):
        case Ok(current):
            if is_ambiguous and current is not None and is_ours(current):
                return Ok(current)
            return Err(WriteConflict(current))
        case Err(error):
            if is_ambiguous:
                return Err(WriteOutcomeUnknown(error.detail))
            return Err(WriteConflict(None))
