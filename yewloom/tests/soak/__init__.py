"""A randomized soak: entry hosts as processes, faults from outside, promises checked meanwhile.

``python -m yewloom.tests.soak --help`` runs it by hand; ``test_soak.py`` plays short seeds.
"""
