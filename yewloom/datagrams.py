"""Encoding of messages between entry hosts as datagrams; long messages are compressed.

A change of many endpoints at once repeats the names of groups, models and data centres, and shrinks
to a fifth. Without compression, such changes would be too long for the slow links of small hosts.
"""

import zlib

from google.protobuf.message import DecodeError

from yewloom.schema.entry_pb2 import EntryMessage

MIN_COMPRESSED_BYTES = 1400
"""Messages shorter than this are not compressed: they fit into one packet."""

MAX_MESSAGE_BYTES = 1 << 20
"""Maximum length of a decompressed message, many times that of a change of all endpoints."""

COMPRESSION_LEVEL = 1
"""The fastest level; higher ones save less than a tenth more."""


def encode_datagram(message: EntryMessage) -> bytes:
    """Return the datagram of a message, compressed if the message is long."""
    data = message.SerializeToString()
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return EntryMessage(compressed=zlib.compress(data, COMPRESSION_LEVEL)).SerializeToString()


def decode_datagram(data: bytes) -> EntryMessage:
    """Return the message of a datagram; raise DecodeError if it is invalid."""
    message = EntryMessage.FromString(data)
    if message.WhichOneof("content") != "compressed":
        return message
    return EntryMessage.FromString(_decompress(message.compressed))


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise DecodeError(f"cannot decompress: {error}") from error
    if not decompressor.eof:
        raise DecodeError("compressed message is truncated or too long")
    return decompressed
