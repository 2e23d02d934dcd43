"""How operators see the requests that are held, and let one go, at the port of the metrics.

``GET /quarantine`` lists them; ``POST /quarantine/FINGERPRINT/lift`` lets one go, at this host at
once and at the others as soon as they hear of it.
"""

import json

import trio

from yewloom.caller_messages import CallerRequest, Reply
from yewloom.fingerprints import fingerprint_text
from yewloom.ids import Fingerprint
from yewloom.quarantine import Quarantine

PREFIX = "/quarantine"
"""Path of the list; the paths below it name one request each."""

_JSON = [(b"content-type", b"application/json")]
_HEXADECIMAL = 16


class QuarantinePage:
    """Answers what operators ask of the quarantine."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def answers(self, request: CallerRequest) -> bool:
        """Tell whether a request asks for something here."""
        return request.path == PREFIX or request.path.startswith(f"{PREFIX}/")

    async def answer(self, request: CallerRequest, reply: Reply) -> None:
        """Answer with the list, or let a request go."""
        if request.method == b"GET" and request.path == PREFIX:
            await reply.send_whole(200, _JSON, self._list())
            return
        fingerprint = _fingerprint_to_lift(request)
        if request.method != b"POST" or fingerprint is None:
            await reply.send_whole(404, [], b"")
            return
        is_lifted = self._quarantine.lift(fingerprint)
        await reply.send_whole(200 if is_lifted else 404, [], b"")

    def _list(self) -> bytes:
        now_s = trio.current_time()
        held = [word for word in self._quarantine.words(now_s) if not word.is_lifted]
        return json.dumps(
            [
                {
                    "fingerprint": fingerprint_text(word.fingerprint),
                    "count": word.count,
                    "age_s": round(word.age_s),
                    "wait_s": round(self._quarantine.wait_s(word.fingerprint, now_s)),
                }
                for word in held
            ]
        ).encode()


def _fingerprint_to_lift(request: CallerRequest) -> Fingerprint | None:
    """Return the request that a path names, or None if it names none."""
    name, _, action = request.path.removeprefix(f"{PREFIX}/").partition("/")
    if action != "lift":
        return None
    try:
        return Fingerprint(int(name, _HEXADECIMAL))
    except ValueError:
        return None
