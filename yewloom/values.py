"""Classes that hold values: a dataclass that costs a start little.

``dataclasses`` writes up to seven methods of each frozen class as text and compiles them when the
module is imported. Here all but ``__init__`` are shared code. That a value is not changed is for
the type checker to tell, which knows the classes as frozen ones.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def value_class(cls: type[T]) -> type[T]:
    """Make a class of its annotated fields, compared and hashed by them."""
    made = dataclass(slots=True, repr=False, eq=False)(cls)
    names = [field.name for field in fields(made)]  # type: ignore[arg-type]
    values = _reader(names)

    def equals(self: object, other: object) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return values(self) == values(other)

    def hash_of(self: object) -> int:
        return hash(values(self))

    def text(self: object) -> str:
        parts = (f"{name}={getattr(self, name)!r}" for name in names)
        return f"{self.__class__.__qualname__}({', '.join(parts)})"

    for name, method in (("__eq__", equals), ("__hash__", hash_of), ("__repr__", text)):
        setattr(made, name, method)
    return made


def _reader(names: Sequence[str]) -> Callable[[Any], Any]:
    """Return a function that reads all fields of an object."""
    return attrgetter(*names) if names else lambda _: ()
