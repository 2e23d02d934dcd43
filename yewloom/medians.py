"""Medians, without the ``statistics`` module of the standard library.

``statistics`` imports ``fractions`` and ``decimal``, which nothing else here needs. Importing them
takes 6.5 to 7.8 ms of the 270 ms or so that an entry host spends on imports at its start (three
runs with ``-X importtime``).
"""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """Return the middle value, or the mean of the middle two; there must be at least one value."""
    ordered = sorted(values)
    upper = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[upper]
    return (ordered[upper - 1] + ordered[upper]) / 2


def median_low(values: Iterable[float]) -> float:
    """Return the middle value, or the lower of the middle two; there must be at least one value."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]
