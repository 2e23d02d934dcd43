"""Tests; run them with ``make test``.

Hypothesis generates the same examples in every run, so that results do not depend on chance.
"""

from hypothesis import settings

from yewloom import log

settings.register_profile("derandomized", deadline=None, derandomize=True, database=None)
settings.load_profile("derandomized")
log.configure_logs("critical")
