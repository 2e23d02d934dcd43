"""Medians, without the standard library's module for them.

``statistics`` brings exact fractions and decimal numbers with it, which nothing else here needs and
which take a start of an entry host 6.5 to 7.8 ms of some 270 ms of imports (three runs of
``-X importtime``).
"""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """Return the middle value, of an even number the mean of the middle two; there must be some."""
    in_order = sorted(values)
    upper = len(in_order) // 2
    if len(in_order) % 2:
        return in_order[upper]
    return (in_order[upper - 1] + in_order[upper]) / 2


def median_low(values: Iterable[float]) -> float:
    """Return the middle value, of an even number the lower of the middle two."""
    in_order = sorted(values)
    return in_order[(len(in_order) - 1) // 2]
