"""Validation of message fields against the rules in the schema.

The rules are the ``rule`` options of ``schema/options.proto``.
"""

from collections.abc import Iterator
from typing import cast

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from result import Err, Ok, Result

from yewloom.schema.options_pb2 import Rule, rule
from yewloom.values import value_class

FieldValue = str | int | float | bool

_INTEGER_TYPES = {FieldDescriptor.CPPTYPE_INT32, FieldDescriptor.CPPTYPE_INT64}
_TRUE_WORDS = {"true", "yes", "on", "1"}
_FALSE_WORDS = {"false", "no", "off", "0"}


@value_class
class FieldError:
    """A value that violates the rule of its field."""

    field: str
    problem: str
    correction: str

    def __str__(self) -> str:
        return f"{self.field} {self.problem}; {self.correction}"


def rule_of(field: FieldDescriptor) -> Rule:
    """Return the rule of a field; an empty rule if the schema defines none."""
    options = field.GetOptions()
    found: Rule = options.Extensions[rule]  # type: ignore[index]
    return found


def fields_of(message: Message) -> dict[str, FieldDescriptor]:
    """Return the fields of a message by name, in schema order."""
    return {field.name: cast(FieldDescriptor, field) for field in message.DESCRIPTOR.fields}


def is_scalar(field: FieldDescriptor) -> bool:
    """Return whether a field holds a single scalar value."""
    return field.message_type is None and not field.is_repeated


def allowed_text(field: FieldDescriptor) -> str:
    """Describe the values that a field accepts."""
    limits = rule_of(field)
    if limits.choices:
        return "one of " + ", ".join(limits.choices.split())
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return "true or false"
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return "text"
    noun = "a whole number" if field.cpp_type in _INTEGER_TYPES else "a number"
    unit = f" {limits.unit}" if limits.unit else ""
    if limits.min == 0 and limits.max == 0:
        return noun + unit
    return f"{noun} from {limits.min:g} to {limits.max:.15g}{unit}"


def parse_value(field: FieldDescriptor, text: str) -> Result[FieldValue, FieldError]:
    """Parse the text of a setting or table cell as a value that the field's rule allows."""
    parsed = _convert(field, text.strip())
    if parsed is None or not _is_allowed(field, parsed):
        return Err(FieldError(field.name, f"is {text!r}", f"set it to {allowed_text(field)}"))
    return Ok(parsed)


def apply_defaults(message: Message) -> None:
    """Set every scalar field of a new message to the default in its rule."""
    for field in scalar_fields(message):
        default = rule_of(field).default
        if default:
            parsed = _convert(field, default)
            assert parsed is not None, f"schema default of {field.full_name}"
            setattr(message, field.name, parsed)


def check_message(message: Message) -> list[FieldError]:
    """Return the rule violations of a message and its nested messages."""
    errors = []
    for field in scalar_fields(message):
        value = getattr(message, field.name)
        if rule_of(field).required and value == "":
            errors.append(FieldError(field.name, "is missing", f"set it to {allowed_text(field)}"))
        elif not _is_allowed(field, value):
            errors.append(FieldError(field.name, f"is {value!r}", f"use {allowed_text(field)}"))
    for field, value in message.ListFields():
        if field.message_type is not None and not field.is_repeated:
            errors += check_message(value)
    return errors


def scalar_fields(message: Message) -> Iterator[FieldDescriptor]:
    """Yield the scalar fields of a message."""
    return (field for field in fields_of(message).values() if is_scalar(field))


def _convert(field: FieldDescriptor, text: str) -> FieldValue | None:
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return text
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return _convert_bool(text.lower())
    try:
        return int(text) if field.cpp_type in _INTEGER_TYPES else float(text)
    except ValueError:
        return None


def _convert_bool(word: str) -> bool | None:
    if word in _TRUE_WORDS:
        return True
    return False if word in _FALSE_WORDS else None


def _is_allowed(field: FieldDescriptor, value: FieldValue) -> bool:
    limits = rule_of(field)
    if limits.choices and isinstance(value, str):
        return value in limits.choices.split()
    if isinstance(value, bool | str) or (limits.min == 0 and limits.max == 0):
        return True
    return limits.min <= value <= limits.max
