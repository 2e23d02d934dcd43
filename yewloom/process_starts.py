"""Distinguishes successive processes that run under the same endpoint id."""


def may_be_same_process(one_unix_ms: int, other_unix_ms: int) -> bool:
    """Return whether two start times may belong to one process; 0 means unknown.

    The times do not tell which process started first, as clocks may be set back.
    """
    return not one_unix_ms or not other_unix_ms or one_unix_ms == other_unix_ms
