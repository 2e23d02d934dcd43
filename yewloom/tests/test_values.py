"""Tests of value classes."""

import unittest
from dataclasses import FrozenInstanceError, dataclass, field, replace

from yewloom.values import value_class


@value_class
class Point:
    """Two fields, one with a default."""

    x: int
    y: int = 0


@value_class
class OtherPoint:
    """The same fields as ``Point`` in another class."""

    x: int
    y: int = 0


@value_class
class Empty:
    """No fields."""


@value_class
class Names:
    """A field with a mutable default, created for each value."""

    names: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Reference:
    """A frozen dataclass with the fields of ``Point``, for comparison."""

    x: int
    y: int = 0


class TestValueClass(unittest.TestCase):
    """Value classes behave as frozen dataclasses, except that assignment is not checked."""

    def test_values_are_equal_if_their_classes_and_fields_are_equal(self) -> None:
        self.assertEqual(Point(1), Point(1, 0))
        self.assertNotEqual(Point(1), Point(2))
        self.assertNotEqual(Point(1), OtherPoint(1))
        self.assertEqual(Empty(), Empty())

    def test_equal_values_have_equal_hashes(self) -> None:
        self.assertEqual(len({Point(1), Point(1, 0), OtherPoint(1), Empty(), Empty()}), 3)

    def test_repr_matches_a_dataclass(self) -> None:
        self.assertEqual(repr(Point(1)), repr(Reference(1)).replace("Reference", "Point"))
        self.assertEqual(repr(Empty()), "Empty()")

    def test_replace_pattern_matching_and_default_factories_work(self) -> None:
        self.assertEqual(replace(Point(1), y=3), Point(1, 3))
        match Point(1, 3):
            case Point(x=1, y=y):
                self.assertEqual(y, 3)
        self.assertIsNot(Names().names, Names().names)

    def test_a_value_with_an_unhashable_field_is_unhashable(self) -> None:
        with self.assertRaises(TypeError):
            hash(Names())

    def test_other_attributes_can_not_be_set(self) -> None:
        with self.assertRaises(AttributeError):
            Point(1).z = 1  # type: ignore[attr-defined]
        with self.assertRaises(FrozenInstanceError):
            Reference(1).x = 2  # type: ignore[misc]
