"""Operator interface of the quarantine, on the metrics port.

``GET /quarantine`` lists the quarantined requests and parts of prompts. ``POST
/quarantine/FINGERPRINT/lift`` lifts the quarantine of a request, and ``POST
/quarantine/parts/PART/lift`` that of a part: immediately on this host, and on the others as soon as
they are notified.
"""

import json

import trio

from yewloom.caller_messages import CallerRequest, ResponseWriter
from yewloom.fingerprints import format_fingerprint
from yewloom.ids import Fingerprint, PromptPart
from yewloom.prompt_parts import format_prompt_part
from yewloom.quarantine import KeyT, Quarantine, QuarantineReport
from yewloom.quarantines import Quarantines

PATH = "/quarantine"
"""Path of the list; each path below it is for one request."""

_JSON = [(b"content-type", b"application/json")]
_HEXADECIMAL_BASE = 16


class QuarantinePage:
    """Answers the operators' requests about the quarantine."""

    def __init__(self, quarantines: Quarantines) -> None:
        self._quarantines = quarantines

    def handles(self, request: CallerRequest) -> bool:
        """Return whether the path of a request belongs to this page."""
        return request.path == PATH or request.path.startswith(f"{PATH}/")

    async def handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Send the list, or lift the quarantine of a request or a part."""
        if request.method == b"GET" and request.path == PATH:
            await response.send_complete(200, _JSON, self._list_as_json())
            return
        is_lifted = request.method == b"POST" and self._lift(request.path)
        await response.send_complete(200 if is_lifted else 404, [], b"")

    def _lift(self, path: str) -> bool:
        """Lift the quarantine that a path names; return whether there was one."""
        match path.removeprefix(f"{PATH}/").split("/"):
            case [name, "lift"]:
                fingerprint = _parse_key(name)
                return fingerprint is not None and self._quarantines.requests.lift(
                    Fingerprint(fingerprint)
                )
            case ["parts", name, "lift"]:
                part = _parse_key(name)
                return part is not None and self._quarantines.parts.lift(PromptPart(part))
        return False

    def _list_as_json(self) -> bytes:
        now_s = trio.current_time()
        requests, parts = self._quarantines.requests, self._quarantines.parts
        entries = [
            {
                "fingerprint": format_fingerprint(report.key),
                **_entry_fields(requests, report, now_s),
            }
            for report in requests.reports(now_s)
            if not report.is_lifted
        ]
        entries += [
            {"part": format_prompt_part(report.key), **_entry_fields(parts, report, now_s)}
            for report in parts.reports(now_s)
            if not report.is_lifted
        ]
        return json.dumps(entries).encode()


def _entry_fields(
    quarantine: Quarantine[KeyT], report: QuarantineReport[KeyT], now_s: float
) -> dict[str, str | int]:
    """Return what is listed of each quarantine, besides its name."""
    return {
        "count": report.count,
        "age_s": round(report.age_s),
        "wait_s": round(quarantine.wait_s(report.key, now_s)),
    }


def _parse_key(name: str) -> int | None:
    """Return a fingerprint or part in hexadecimal, or None for any other text."""
    try:
        return int(name, _HEXADECIMAL_BASE)
    except ValueError:
        return None
