"""Client of the platform's metadata store that implements the ``Platform`` interface.

A key is a kind and a name, ``kind/name``; a listing or a watch covers one kind.
"""

import json
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import trio
from result import Err, Ok, Result

from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure, HttpResponse
from yewloom.ids import DataCentreId
from yewloom.platform.bodies import decode_body
from yewloom.platforms import (
    DOWN_AFTER_FAILURES,
    Listing,
    PlatformError,
    PlatformFailure,
    StoredObject,
)
from yewloom.schema.records_pb2 import Host
from yewloom.store_revisions import StoreEra, era_of, number_of, qualify_revision
from yewloom.values import value_class

WATCH_SLACK_S = 0.4
"""Time beyond its requested duration after which a watch counts as lost.

A slow store takes about that long for some responses. With a longer time, changes might not be in
force within 2 s; a watch on a connection that has gone silent is noticed after 1.9 s at most.
"""

MAX_WATCH_SLACK_S = 0.8
"""Upper bound of the slack after a slow listing.

The slack is then twice the time that the first page of the latest listing took. With
``WATCH_SLACK_S`` alone, each watch of a store that responds in 0.6 s would time out and be followed
by a listing, which makes a slow store slower (``test_silent_connections``).
"""

MIN_WATCH_FRACTION = 0.75
"""Shortest duration of a watch, as a fraction of the longest.

Durations are random, so that the watches of several hosts end at different times and at least one
host has recently confirmed that its state is current.
"""

_JSON = {"content-type": "application/json"}

_ERA_HEADER = "store-era"

_OTHER_ERA = "the store has gone back to an older copy"

_FAILURES_BY_STATUS = {
    409: PlatformFailure.CONFLICT,
    410: PlatformFailure.EXPIRED,
    429: PlatformFailure.NOT_APPLIED,
    503: PlatformFailure.NOT_APPLIED,
}


_ANSWER_STATUSES = {200, 201, 202, 404, 409, 410}
"""Statuses of answers from a store that is neither down nor turns this host away."""

OnCall = Callable[[str, str, str], None]
"""Called after each call: kind of call, kind of object, status (``none`` without a response)."""


class StoreClient:
    """The store over HTTP. With ``allows_stale``, reads are cheaper but may be seconds old.

    Clients of the same store share ``era``. What depends on a revision of an earlier era is not
    sent: the store may have given out that revision again.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        timeout_s: float,
        rng: random.Random,
        watch_s: float = 1.0,
        allows_stale: bool = False,
        on_call: OnCall = lambda call, kind, status: None,
        on_answer: Callable[[float], None] = lambda answered_s: None,
        loop_delay_s: Callable[[], float] = lambda: 0.0,
        era: StoreEra | None = None,
    ) -> None:
        """Initialize; ``loop_delay_s`` returns how long ago data read now may have arrived.

        ``on_answer`` is called with the time of each answer that shows that the store works; one
        that may be old shows nothing.
        """
        self._on_answer = on_answer
        self._era = era or StoreEra()
        self._loop_delay_s = loop_delay_s
        self._on_call = on_call
        self._client = client
        self._url = f"http://{address}/objects/"
        self._timeout_s = timeout_s
        self._rng = rng
        self._watch_s = watch_s
        # The wire option "serializable" asks for a state that need not be the latest.
        self._read_options = {"serializable": 1} if allows_stale else {}
        self._consecutive_failures = 0
        self._first_page_s = 0.0

    @property
    def is_down(self) -> bool:
        """Tell whether the latest calls failed, so that another call is likely to fail as well."""
        return self._consecutive_failures >= DOWN_AFTER_FAILURES

    async def get(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Read one object; return None if it does not exist."""
        match await self._call("GET", key, self._read_options):
            case Ok(_StoreResponse(status=404)):
                return Ok(None)
            case Ok(response):
                return Ok(_decode_object(_kind_from_key(key), response))
            case Err(error):
                return Err(error)

    async def update(
        self, key: str, value: str, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if it has the expected version (0: absent); return its new version."""
        if expected_version and era_of(expected_version) != self._era.latest:
            return Err(PlatformError(PlatformFailure.CONFLICT, _OTHER_ERA))
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        if expected_version:
            metadata["revision"] = number_of(expected_version)
        body = json.dumps({"metadata": metadata, "spec": json.loads(value)}).encode()
        method, path = ("PUT", key) if expected_version else ("POST", kind)
        match await self._call(method, path, {}, body):
            case Ok(_StoreResponse(status=404)):
                return Err(PlatformError(PlatformFailure.CONFLICT, "the object no longer exists"))
            case Ok(response):
                if expected_version and response.era != era_of(expected_version):
                    return Err(PlatformError(PlatformFailure.CONFLICT, _OTHER_ERA))
                return Ok(response.qualified(response.fields["metadata"]["revision"]))
            case Err(error):
                return Err(error)

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Read all objects of a kind, page by page.

        Unless stale reads are allowed, a new connection is used: a listing follows a watch that
        failed or missed a change, so the other open connections may be broken as well.
        """
        if not self._read_options:
            await self._client.renew_connections(self._url)
        started_s = trio.current_time()
        objects: list[StoredObject] = []
        position: int | None = None
        query: dict[str, Any] = dict(self._read_options)
        while True:
            match await self._call("GET", prefix, query):
                case Ok(response):
                    fields = response.fields
                case Err(error):
                    return Err(error)
            page = [_decode_item(prefix, item, response) for item in fields["items"]]
            objects += page
            if position is None:
                # A watch continues from the first page, so that no change between pages is missed.
                position = response.qualified(fields["storeRevision"])
                self._first_page_s = trio.current_time() - started_s
            if not fields.get("morePages") or not page:
                return Ok(Listing(objects, position))
            # The wire option "sinceRev" takes the name after which the next page starts.
            query["sinceRev"] = page[-1].key.partition("/")[2]

    async def watch(
        self, prefix: str, position: int, max_wait_s: float = math.inf
    ) -> Result[Listing, PlatformError]:
        """Wait for changes of a kind after a position; the result may be empty.

        A position of another era has expired, even if the store has reached its revision again.
        """
        if era_of(position) != self._era.latest:
            return Err(PlatformError(PlatformFailure.EXPIRED, _OTHER_ERA))
        watch_s = min(self._watch_s * self._rng.uniform(MIN_WATCH_FRACTION, 1.0), max_wait_s)
        wait_ms = round(watch_s * 1000)
        wait_s = wait_ms / 1000
        query = {"watch": number_of(position), "waitMs": wait_ms}
        slack_s = min(MAX_WATCH_SLACK_S, max(WATCH_SLACK_S, 2 * self._first_page_s))
        sent_s = trio.current_time()
        match await self._call("GET", prefix, query, timeout_s=wait_s + slack_s):
            case Ok(response):
                fields = response.fields
            case Err(error):
                return Err(error)
        if response.era != era_of(position):
            return Err(PlatformError(PlatformFailure.EXPIRED, _OTHER_ERA))
        # A response may contain several changes of one object; the last one counts.
        latest = {_object_name(event["object"]): event for event in fields["events"]}
        changed = [e["object"] for e in latest.values() if not e["tombstone"]]
        removed = [f"{prefix}/{name}" for name, e in latest.items() if e["tombstone"]]
        objects = [_decode_item(prefix, item, response) for item in changed]
        # A watch that ended early confirms nothing about the time after its start.
        duration_s = trio.current_time() - self._loop_delay_s() - sent_s
        is_full_and_empty = not latest and duration_s >= wait_s
        confirmed_after_s = wait_s if is_full_and_empty else 0.0
        reached = response.qualified(fields["storeRevision"])
        return Ok(Listing(objects, reached, removed, confirmed_after_s))

    async def hosts(self, data_centre: DataCentreId) -> Result[Sequence[Host], PlatformError]:
        """Return no hosts: on this platform, endpoints are objects and are listed as such."""
        return Ok([])

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> Result["_StoreResponse", PlatformError]:
        url = self._url + path + (f"?{urlencode(query)}" if query else "")
        try:
            response = await self._client.call(
                method, url, timeout_s or self._timeout_s, body, _JSON if body else None
            )
        except HttpCallError as error:
            self._consecutive_failures += 1
            self._on_call(_call_kind(method, path, query), _kind_from_key(path), "none")
            may_have_been_sent = error.failure is not HttpFailure.NOT_SENT
            failure = (
                PlatformFailure.AMBIGUOUS if may_have_been_sent else PlatformFailure.NOT_APPLIED
            )
            return Err(PlatformError(failure, str(error)))
        self._on_call(_call_kind(method, path, query), _kind_from_key(path), str(response.status))
        return self._check(response)

    def _check(self, response: HttpResponse) -> Result["_StoreResponse", PlatformError]:
        self._consecutive_failures = self._consecutive_failures + 1 if response.status >= 500 else 0
        if not self._era.observe(response.headers.get(_ERA_HEADER)):
            return Err(PlatformError(PlatformFailure.AMBIGUOUS, "answer of an earlier era"))
        era = self._era.latest
        if response.status in _ANSWER_STATUSES and not self._read_options:
            self._on_answer(trio.current_time() - self._loop_delay_s())
        if response.status in (200, 201, 202):
            try:
                return Ok(_StoreResponse(response.status, decode_body(response.body), era))
            except ValueError as error:
                return Err(PlatformError(PlatformFailure.AMBIGUOUS, f"invalid JSON: {error}"))
        if response.status == 404:
            return Ok(_StoreResponse(response.status, None, era))
        default = PlatformFailure.AMBIGUOUS if response.status >= 500 else PlatformFailure.INVALID
        failure = _FAILURES_BY_STATUS.get(response.status, default)
        return Err(PlatformError(failure, f"status {response.status}"))


@value_class
class _StoreResponse:
    """Status, decoded body and era of a response; ``fields`` is None for a missing object."""

    status: int
    fields: Any
    era: int

    def qualified(self, number: Any) -> int:
        """Return a revision in the response, qualified by its era."""
        return qualify_revision(self.era, int(number))


def _call_kind(method: str, path: str, query: Mapping[str, Any]) -> str:
    if method != "GET":
        return {"POST": "create", "PUT": "update"}[method]
    if "watch" in query:
        return "watch"
    name = "get" if "/" in path else "list"
    return f"stale {name}" if "serializable" in query else name


def _kind_from_key(key: str) -> str:
    return key.partition("/")[0]


def _object_name(item: Any) -> str:
    return str(item["metadata"]["name"])


def _decode_object(kind: str, response: _StoreResponse) -> StoredObject:
    return _decode_item(kind, response.fields, response)


def _decode_item(kind: str, item: Any, response: _StoreResponse) -> StoredObject:
    """Return one of the objects in a response."""
    revision = response.qualified(item["metadata"]["revision"])
    return StoredObject(f"{kind}/{_object_name(item)}", revision, json.dumps(item.get("spec")))
