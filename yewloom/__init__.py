"""Serving of language-model replicas that span several hosts, with plain services beside them.

The decision modules (see docs/embedding.md) do no I/O and read no clock, so other programs can
embed them; the daemon and the command-line tool are built on them.
"""

__version__ = "0.1.0"
