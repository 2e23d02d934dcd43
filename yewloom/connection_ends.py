"""Whether the peer of a connection ended it or reset it, where a read alone can't tell.

Linux reports a reset once, by ``ECONNRESET`` to the next call, whether it sends or receives. Later
calls that receive return what arrived before, and then no bytes, exactly as if the peer had ended
its direction. If the peer ended its direction before the reset, a call that sends fails with
``EPIPE`` instead.

So after a failed send, what is read last may be cut off. That matters to a response that only the
end of its connection ends.
"""

import errno


def shows_end(send_error: BaseException) -> bool:
    """Return whether a failed send shows that the peer had ended its direction before.

    ``send_error`` is an error of a stream, whose cause is that of the operating system. Only the
    first failure of a connection tells; any other cause may hide a reset.
    """
    error: BaseException | None = send_error
    while error is not None:
        if isinstance(error, OSError):
            return error.errno == errno.EPIPE
        error = error.__cause__
    return False
