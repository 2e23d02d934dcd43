"""Serving system for language-model replicas that span several hosts, and for plain services.

The decision modules (see docs/embedding.md) do no I/O and read no clock, so that other programs
can embed them. The daemon and the command-line tool are built on them.
"""

__version__ = "0.1.0"
