"""Value classes: immutable dataclasses that are cheap to define at import time.

``dataclasses`` generates up to seven methods of each frozen class as source text and compiles them
when the module is imported, which slows down the start of the process. Here all methods but
``__init__`` are shared code. Immutability is enforced by the type checker alone, which treats the
classes as frozen.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def value_class(cls: type[T]) -> type[T]:
    """Turn a class into a dataclass that is compared and hashed by its fields."""
    new_class = dataclass(slots=True, repr=False, eq=False)(cls)
    names = [field.name for field in fields(new_class)]  # type: ignore[arg-type]
    read_fields = _fields_getter(names)

    def equals(self: object, other: object) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return read_fields(self) == read_fields(other)

    def compute_hash(self: object) -> int:
        return hash(read_fields(self))

    def format_fields(self: object) -> str:
        parts = (f"{name}={getattr(self, name)!r}" for name in names)
        return f"{self.__class__.__qualname__}({', '.join(parts)})"

    for name, method in (
        ("__eq__", equals),
        ("__hash__", compute_hash),
        ("__repr__", format_fields),
    ):
        setattr(new_class, name, method)
    return new_class


def _fields_getter(names: Sequence[str]) -> Callable[[Any], Any]:
    """Return a function that reads the named fields of an object."""
    return attrgetter(*names) if names else lambda _: ()
