"""Telling the processes apart that run one after the other under one endpoint's id."""


def is_same_process(one_unix_ms: int, other_unix_ms: int) -> bool:
    """Tell whether two starts may be of one process; 0 is a start that is not known.

    Which of two came first can't be told: clocks are set back.
    """
    return not one_unix_ms or not other_unix_ms or one_unix_ms == other_unix_ms
