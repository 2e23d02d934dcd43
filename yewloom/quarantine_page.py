"""Operator interface of the quarantine, on the metrics port.

``GET /quarantine`` lists the quarantined requests. ``POST /quarantine/FINGERPRINT/lift`` lifts the
quarantine of one: immediately on this host, and on the others as soon as they are notified.
"""

import json

import trio

from yewloom.caller_messages import CallerRequest, ResponseWriter
from yewloom.fingerprints import format_fingerprint
from yewloom.ids import Fingerprint
from yewloom.quarantine import Quarantine

PATH = "/quarantine"
"""Path of the list; each path below it is for one request."""

_JSON = [(b"content-type", b"application/json")]
_HEXADECIMAL_BASE = 16


class QuarantinePage:
    """Answers the operators' requests about the quarantine."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def handles(self, request: CallerRequest) -> bool:
        """Return whether the path of a request belongs to this page."""
        return request.path == PATH or request.path.startswith(f"{PATH}/")

    async def handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Send the list, or lift the quarantine of a request."""
        if request.method == b"GET" and request.path == PATH:
            await response.send_complete(200, _JSON, self._list_as_json())
            return
        fingerprint = _fingerprint_to_lift(request)
        if request.method != b"POST" or fingerprint is None:
            await response.send_complete(404, [], b"")
            return
        is_lifted = self._quarantine.lift(fingerprint)
        await response.send_complete(200 if is_lifted else 404, [], b"")

    def _list_as_json(self) -> bytes:
        now_s = trio.current_time()
        quarantined = [report for report in self._quarantine.reports(now_s) if not report.is_lifted]
        return json.dumps(
            [
                {
                    "fingerprint": format_fingerprint(report.fingerprint),
                    "count": report.count,
                    "age_s": round(report.age_s),
                    "wait_s": round(self._quarantine.wait_s(report.fingerprint, now_s)),
                }
                for report in quarantined
            ]
        ).encode()


def _fingerprint_to_lift(request: CallerRequest) -> Fingerprint | None:
    """Return the fingerprint in the path of a lift request, or None for any other path."""
    name, _, action = request.path.removeprefix(f"{PATH}/").partition("/")
    if action != "lift":
        return None
    try:
        return Fingerprint(int(name, _HEXADECIMAL_BASE))
    except ValueError:
        return None
