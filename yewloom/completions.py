"""OpenAI-compatible requests and responses for models."""

import json
import time
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from yewloom.ids import ModelName, RequestId
from yewloom.problems import bad_request_problem
from yewloom.values import value_class

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131072


class CompletionKind(Enum):
    """Which of the two OpenAI interfaces a request uses."""

    CHAT = "chat"
    TEXT = "text"


@value_class
class CompletionRequest:
    """The fields of a request body that are used; others are ignored."""

    kind: CompletionKind
    model: ModelName
    prompt: str
    max_tokens: int
    is_stream: bool
    user: str


def parse_completion(kind: CompletionKind, body: bytes) -> CompletionRequest:
    """Decode a request body; raises Problem, which says what is wrong and how to fix it."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise bad_request_problem(f"The body is not JSON ({error}).") from None
    if not isinstance(fields, dict):
        raise bad_request_problem("The body must be a JSON object.")
    return CompletionRequest(
        kind=kind,
        model=ModelName(_required_text(fields, "model")),
        prompt=_prompt(kind, fields),
        max_tokens=_max_tokens(fields),
        is_stream=fields.get("stream") is True,
        user=str(fields.get("user") or ""),
    )


def complete_response_body(
    request: CompletionRequest, request_id: RequestId, tokens: Sequence[str], finish_reason: str
) -> bytes:
    """Return the body of a response that is not streamed."""
    text = "".join(tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if request.kind is CompletionKind.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
        object_type = "chat.completion"
    else:
        choice["text"] = text
        object_type = "text_completion"
    usage = {
        "prompt_tokens": len(request.prompt) // 4,
        "completion_tokens": len(tokens),
        "total_tokens": len(request.prompt) // 4 + len(tokens),
    }
    fields = {
        **_common_fields(object_type, request, request_id),
        "choices": [choice],
        "usage": usage,
    }
    return json.dumps(fields).encode()


class ChunkWriter:
    """Writes the events of one stream; their constant parts are encoded once."""

    def __init__(self, request: CompletionRequest, request_id: RequestId) -> None:
        is_chat = request.kind is CompletionKind.CHAT
        object_type = "chat.completion.chunk" if is_chat else "text_completion"
        common_json = json.dumps(_common_fields(object_type, request, request_id))[:-1]
        key = '"delta": {"content": ' if is_chat else '"text": '
        self._prefix = f'{common_json}, "choices": [{{"index": 0, {key}'
        self._suffix = "}" if is_chat else ""

    def event(self, position: str, text: str, finish_reason: str) -> bytes:
        """Return one server-sent event with some tokens."""
        finish_reason_json = json.dumps(finish_reason) if finish_reason else "null"
        return (
            f"id: {position}\ndata: {self._prefix}{json.dumps(text)}{self._suffix}"
            f', "finish_reason": {finish_reason_json}}}]}}\n\n'
        ).encode()


END_EVENT = b"data: [DONE]\n\n"


def error_event(problem_json: str) -> bytes:
    """Return the event that ends an incomplete stream."""
    return f'event: error\ndata: {{"error": {problem_json}}}\n\n'.encode()


def _common_fields(
    object_type: str, request: CompletionRequest, request_id: RequestId
) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": object_type,
        "created": int(time.time()),
        "model": request.model,
    }


def _required_text(fields: Mapping[str, Any], key: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not value:
        raise bad_request_problem(f"The body needs {key!r} as text.")
    return value


def _max_tokens(fields: Mapping[str, Any]) -> int:
    for key in ("max_completion_tokens", "max_tokens"):
        value = fields.get(key)
        if value is None:
            continue
        if type(value) is not int or not 1 <= value <= MAX_TOKENS:
            raise bad_request_problem(f"{key!r} must be a whole number from 1 to {MAX_TOKENS}.")
        return value
    return DEFAULT_MAX_TOKENS


def _prompt(kind: CompletionKind, fields: Mapping[str, Any]) -> str:
    if kind is CompletionKind.TEXT:
        return _required_text(fields, "prompt")
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise bad_request_problem("The body needs 'messages' as a list that is not empty.")
    return "\n".join(_message_text(message) for message in messages)


def _message_text(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise bad_request_problem("Each of 'messages' needs 'role' and 'content'.")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(str(p.get("text", "")) for p in content if isinstance(p, dict))
    if not isinstance(content, str):
        raise bad_request_problem(
            "Each of 'messages' needs 'content' as text or as a list of parts."
        )
    return f"{message['role']}: {content}"
