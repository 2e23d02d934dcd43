"""Client of the platform's object store, the only persistent and consistent storage of the system.

``Platform`` is the interface that the rest of the system uses; ``HttpPlatform`` implements it over
the HTTP API described in docs/platform-api.md. Values are JSON objects.
"""

import json
import math
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum
from functools import partial
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

from google.protobuf import json_format
from result import Err, Ok, Result

from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure, HttpResponse
from yewloom.ids import DataCentreId
from yewloom.schema.records_pb2 import Host, HostList
from yewloom.store_revisions import StoreEra, era_of, number_of, qualify_revision
from yewloom.values import value_class

_ERA_HEADER = "store-era"

_OTHER_ERA = "the platform has gone back to an older copy"

_WATCH_SLACK_S = 2.0

DOWN_AFTER_FAILURES = 2
"""Consecutive calls without an answer after which the platform is considered to be down."""

T = TypeVar("T")


class PlatformFailure(Enum):
    """Why a platform call failed, and whether it may have taken effect."""

    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    AMBIGUOUS = "ambiguous"
    FORBIDDEN = "forbidden"
    INVALID = "invalid"
    EXPIRED = "expired"
    """The watch started from a position that the platform no longer keeps."""


@value_class
class PlatformError:
    """A failed platform call."""

    failure: PlatformFailure
    detail: str

    def __str__(self) -> str:
        return f"{self.failure.value}: {self.detail}"


@value_class
class StoredObject:
    """A key, its value as JSON text, and its version: 1 at creation, increased by each write."""

    key: str
    version: int
    value: str


@value_class
class Listing:
    """Objects, and the position in the platform's history from which to watch for changes.

    Positions and versions are qualified revisions (``store_revisions``).

    ``removed`` contains the keys that a watch reports as deleted. ``confirmed_after_s`` is the time
    after the start of the call up to which the result is known to be complete: the duration of a
    watch that ended without changes, otherwise 0.
    """

    objects: Sequence[StoredObject]
    position: int
    removed: Sequence[str] = ()
    confirmed_after_s: float = 0.0


class Platform(Protocol):
    """The platform's operations."""

    @property
    def is_down(self) -> bool:
        """Return whether the latest calls got no answer, so that another call is likely to fail."""
        ...

    async def get(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Read one object; None if there is none."""
        ...

    async def update(
        self, key: str, value: str, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if it has the expected version (0: absent); return the new version."""
        ...

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Read all objects whose keys start with a prefix."""
        ...

    async def watch(
        self, prefix: str, position: int, max_wait_s: float = math.inf
    ) -> Result[Listing, PlatformError]:
        """Wait for writes to keys with a prefix after a position; the result may be empty.

        The wait is as long as the client's settings say, or ``max_wait_s`` if that is shorter.
        """
        ...

    async def hosts(self, data_centre: DataCentreId) -> Result[Sequence[Host], PlatformError]:
        """Read the list of a data centre's hosts, which may be out of date."""
        ...


class HttpPlatform:
    """The platform over HTTP; ``calls`` counts the calls by kind.

    What depends on a version or position of an earlier era is not sent: the platform may have given
    it out again since it went back to an older copy.
    """

    def __init__(
        self,
        client: HttpClient,
        url: str,
        timeout_s: float,
        watch_timeout_s: float,
        token: str = "",
    ) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._watch_timeout_s = watch_timeout_s
        self._headers = {"authorization": f"Bearer {token}"} if token else {}
        self._failures = 0
        self._era = StoreEra()
        self.calls: Counter[str] = Counter()

    @property
    def is_down(self) -> bool:
        """Return whether the latest calls got no answer, so that another call is likely to fail."""
        return self._failures >= DOWN_AFTER_FAILURES

    async def get(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Read one object; None if there is none."""
        match await self._call("get", "GET", f"/v1/objects/{quote(key)}"):
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case Ok(response):
                return _decode(response, partial(_stored_object, self._era.latest))
            case Err(error):
                return Err(error)

    async def update(
        self, key: str, value: str, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if it has the expected version (0: absent); return the new version."""
        if expected_version and era_of(expected_version) != self._era.latest:
            return Err(PlatformError(PlatformFailure.CONFLICT, _OTHER_ERA))
        condition = (
            {"if-match": f'"{number_of(expected_version)}"'}
            if expected_version
            else {"if-none-match": "*"}
        )
        path = f"/v1/objects/{quote(key)}"
        match await self._call("update", "PUT", path, value.encode(), condition):
            case Ok(response):
                if expected_version and self._era.latest != era_of(expected_version):
                    return Err(PlatformError(PlatformFailure.CONFLICT, _OTHER_ERA))
                era = self._era.latest
                return _decode(response, lambda fields: _qualified(era, fields["version"]))
            case Err(error):
                return Err(error)

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Read all objects whose keys start with a prefix."""
        match await self._call("list", "GET", f"/v1/objects?{urlencode({'prefix': prefix})}"):
            case Ok(response):
                return _decode(response, partial(_listing, self._era.latest))
            case Err(error):
                return Err(error)

    async def watch(
        self, prefix: str, position: int, max_wait_s: float = math.inf
    ) -> Result[Listing, PlatformError]:
        """Wait for writes to keys with a prefix after a position; the result may be empty.

        A position of another era has expired, even if the platform has reached it again.
        """
        if era_of(position) != self._era.latest:
            return Err(PlatformError(PlatformFailure.EXPIRED, _OTHER_ERA))
        wait_s = min(self._watch_timeout_s, max_wait_s)
        query = urlencode(
            {
                "prefix": prefix,
                "position": number_of(position),
                "timeout_ms": round(wait_s * 1000),
            }
        )
        timeout_s = wait_s + _WATCH_SLACK_S
        match await self._call("watch", "GET", f"/v1/watch?{query}", timeout_s=timeout_s):
            case Ok(response):
                if self._era.latest != era_of(position):
                    return Err(PlatformError(PlatformFailure.EXPIRED, _OTHER_ERA))
                return _decode(response, partial(_listing, self._era.latest))
            case Err(error):
                return Err(error)

    async def hosts(self, data_centre: DataCentreId) -> Result[Sequence[Host], PlatformError]:
        """Read the list of a data centre's hosts, which may be out of date."""
        path = f"/v1/hosts?{urlencode({'data_centre': data_centre})}"
        match await self._call("hosts", "GET", path):
            case Ok(response):
                return _decode(
                    response,
                    lambda fields: list(
                        json_format.ParseDict(fields, HostList(), ignore_unknown_fields=True).hosts
                    ),
                )
            case Err(error):
                return Err(error)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Result[HttpResponse, PlatformError]:
        self.calls[kind] += 1
        try:
            response = await self._client.call(
                method,
                self._url + path,
                timeout_s or self._timeout_s,
                body,
                {**self._headers, **(headers or {})},
            )
        except HttpCallError as error:
            self._failures += 1
            was_sent = error.failure is not HttpFailure.NOT_SENT
            failure = PlatformFailure.AMBIGUOUS if was_sent else PlatformFailure.NOT_APPLIED
            return Err(PlatformError(failure, str(error)))
        self._failures = self._failures + 1 if response.status >= 500 else 0
        if not self._era.observe(response.headers.get(_ERA_HEADER)):
            return Err(PlatformError(PlatformFailure.AMBIGUOUS, "answer of an earlier era"))
        return _check_status(response)


def _check_status(response: HttpResponse) -> Result[HttpResponse, PlatformError]:
    if response.status in (200, 201, 404):
        return Ok(response)
    if response.status == 410:
        return Err(PlatformError(PlatformFailure.EXPIRED, "the position is not kept any more"))
    if response.status in (409, 412):
        return Err(PlatformError(PlatformFailure.CONFLICT, "the object has another version"))
    if response.status in (401, 403):
        return Err(
            PlatformError(PlatformFailure.FORBIDDEN, "the token is missing or lacks permission")
        )
    if response.status in (429, 503):
        return Err(PlatformError(PlatformFailure.NOT_APPLIED, f"status {response.status}"))
    failure = PlatformFailure.AMBIGUOUS if response.status >= 500 else PlatformFailure.INVALID
    return Err(PlatformError(failure, f"status {response.status}"))


def _decode(response: HttpResponse, build: Callable[[Any], T]) -> Result[T, PlatformError]:
    try:
        return Ok(build(response.json()))
    except (ValueError, KeyError, TypeError, json_format.ParseError) as error:
        return Err(PlatformError(PlatformFailure.AMBIGUOUS, f"invalid response: {error}"))


def _stored_object(era: int, fields: Any) -> StoredObject:
    version = _qualified(era, fields["version"])
    return StoredObject(fields["key"], version, json.dumps(fields["value"]))


def _listing(era: int, fields: Any) -> Listing:
    objects = [_stored_object(era, item) for item in fields["items"]]
    return Listing(objects, _qualified(era, fields["position"]))


def _qualified(era: int, number: Any) -> int:
    return qualify_revision(era, int(number))
