"""Tests; run them with ``make test``.

Hypothesis draws the same examples in every run, so that a verdict does not depend on chance.
"""

from hypothesis import settings

from yewloom import log

settings.register_profile("derandomized", deadline=None, derandomize=True, database=None)
settings.load_profile("derandomized")
log.set_up("critical")
