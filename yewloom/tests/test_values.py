"""Tests of classes that hold values."""

import unittest
from dataclasses import FrozenInstanceError, dataclass, field, replace

from yewloom.values import value_class


@value_class
class Point:
    """Two fields, one with a default."""

    x: int
    y: int = 0


@value_class
class Spot:
    """The same fields under another name."""

    x: int
    y: int = 0


@value_class
class Nothing:
    """No field."""


@value_class
class Names:
    """A field that each value has of its own."""

    names: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Reference:
    """What ``dataclasses`` makes of the fields of a point."""

    x: int
    y: int = 0


class TestValues(unittest.TestCase):
    """They act as frozen dataclasses do, but for the check when a field is set."""

    def test_values_are_equal_by_their_fields_and_their_class(self) -> None:
        self.assertEqual(Point(1), Point(1, 0))
        self.assertNotEqual(Point(1), Point(2))
        self.assertNotEqual(Point(1), Spot(1))
        self.assertEqual(Nothing(), Nothing())

    def test_equal_values_are_one_key(self) -> None:
        self.assertEqual(len({Point(1), Point(1, 0), Spot(1), Nothing(), Nothing()}), 3)

    def test_they_read_as_dataclasses_do(self) -> None:
        self.assertEqual(repr(Point(1)), repr(Reference(1)).replace("Reference", "Point"))
        self.assertEqual(repr(Nothing()), "Nothing()")

    def test_they_can_be_replaced_matched_and_have_defaults_of_their_own(self) -> None:
        self.assertEqual(replace(Point(1), y=3), Point(1, 3))
        match Point(1, 3):
            case Point(x=1, y=y):
                self.assertEqual(y, 3)
        self.assertIsNot(Names().names, Names().names)

    def test_a_value_that_holds_what_can_not_be_hashed_is_no_key(self) -> None:
        with self.assertRaises(TypeError):
            hash(Names())

    def test_they_have_no_further_attributes(self) -> None:
        with self.assertRaises(AttributeError):
            Point(1).z = 1  # type: ignore[attr-defined]
        with self.assertRaises(FrozenInstanceError):
            Reference(1).x = 2  # type: ignore[misc]
