"""Fingerprints of requests, by which every entry host recognizes a request that is sent again.

The id of a request differs between its attempts; the fingerprint is the same for all of them. It is
a hash of the host name, the target, the customer and the body, which has been received completely
before a request is forwarded. The customer is included so that customers cannot affect each other's
requests.
"""

import hashlib

from yewloom.ids import CustomerId, Fingerprint

_LENGTH_BYTES = 8
"""Length in bytes; the chance that any two of a million requests collide is 1 in 10 million."""


def compute_fingerprint(
    host: str, target: bytes, customer: CustomerId | None, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    The computation takes about 2 us, plus 1 us for each kilobyte of the body.
    """
    digest = hashlib.blake2b(digest_size=_LENGTH_BYTES)
    for part in (host.encode("latin-1"), target, (customer or "").encode()):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return Fingerprint(int.from_bytes(digest.digest(), "big"))


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Format a fingerprint for operators, as 16 hexadecimal digits."""
    return f"{fingerprint:016x}"
