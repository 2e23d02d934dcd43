"""Randomized soak test: runs entry hosts as processes, injects faults and checks guarantees.

Run it by hand with ``python -m yewloom.tests.soak``; ``test_soak.py`` runs short soaks with fixed
seeds.
"""
