"""Serves the requests that peers relay because they reach no endpoint."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import structlog
from google.protobuf.message import DecodeError

from yewloom.caller_activity import CallerActivity
from yewloom.caller_messages import CallerRequest, Handler, ResponseWriter
from yewloom.configuration import CallerLimits
from yewloom.relay_messages import RelayContext, decode_caller_request, decode_context
from yewloom.relays import RELAY_PATH
from yewloom.schema.entry_pb2 import RelayedRequest

logger = structlog.get_logger(__name__)

MESSAGE_OVERHEAD_BYTES = 1024
"""Bytes of a relayed request in addition to its headers, counted twice, and its body."""

BAD_REQUEST = 400

RelayedHandler = Callable[[CallerRequest, ResponseWriter, RelayContext], Awaitable[None]]
"""Handles one request that a peer has relayed."""


class RelayServer:
    """Passes relayed requests to the forwarder; a planned stop waits for them as for callers'.

    ``activity`` is that of the callers' server. ``other_handler`` handles other requests of peers.
    """

    def __init__(
        self,
        handler: RelayedHandler,
        reject: Handler,
        activity: CallerActivity,
        other_handler: Handler,
    ) -> None:
        self._handler = handler
        self._reject = reject
        self._activity = activity
        self._other_handler = other_handler

    async def handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Handle one request of a peer."""
        if request.target != RELAY_PATH:
            await self._other_handler(request, response)
            return
        try:
            message = RelayedRequest.FromString(request.body)
        except DecodeError as error:
            logger.error("cannot decode relayed request", reason=str(error))
            await response.send_complete(BAD_REQUEST, [], b"")
            return
        caller_request = decode_caller_request(message, request)
        with self._activity.request():
            if self._activity.accepts_requests:
                await self._handler(caller_request, response, decode_context(message))
            else:
                await self._reject(caller_request, response)


def peer_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits for peers' requests, which may contain a caller's request."""
    max_body_bytes = limits.max_body_bytes + 2 * limits.max_header_bytes + MESSAGE_OVERHEAD_BYTES
    return replace(CallerLimits(), max_body_bytes=max_body_bytes)
