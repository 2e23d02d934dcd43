"""Mutations of what tells a whole answer from a broken one, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "answers: a failed send may hide a reset",
        "endpoint_calls",
        "self._may_be_reset = self._may_be_reset or not shows_end(error)",
        "pass",
        "test_answers_during_uploads",
    ),
    Mutation(
        "answers: a failed send shows that the peer had ended",
        "connection_ends",
        "            return error.errno == errno.EPIPE\n",
        "            return False\n",
        "test_answers_during_uploads",
    ),
    Mutation(
        "answers: a reset is no end",
        "connection_ends",
        "            return error.errno == errno.EPIPE\n",
        "            return True\n",
        "test_connection_ends",
    ),
    Mutation(
        "answers: a failed send of a pooled call may hide a reset",
        "http_network",
        "self._may_be_reset = self._may_be_reset or not shows_end(error)",
        "pass",
        "test_http_calls",
    ),
    Mutation(
        "answers: the head of a refusal says that a call did not run",
        "endpoints",
        "            if error.head is None or not _is_refusal(error.head):\n",
        "            if True:\n",
        "test_http_calls",
    ),
    Mutation(
        "answers: a status above those of HTTP is invalid",
        "response_heads",
        "    if status > MAX_STATUS:\n",
        "    if False:\n",
        "test_response_heads",
    ),
    Mutation(
        "answers: a value holds no control byte",
        "response_heads",
        "        if _CONTROL_BYTE.search(value):\n",
        "        if False:\n",
        "test_response_heads",
    ),
    Mutation(
        "answers: a folded line makes a head invalid, at endpoints",
        "endpoint_calls",
        "                self._folded_lines.feed(data)\n",
        "",
        "test_response_heads",
    ),
    Mutation(
        "answers: a folded line makes a head invalid, in pooled calls",
        "http_network",
        "            self._folded_lines.feed(data)\n",
        "            pass\n",
        "test_response_heads",
    ),
    Mutation(
        "answers: each response of a pooled connection is checked for folded lines",
        "http_network",
        '        """Send bytes of the next request."""\n'
        "        self._folded_lines = FoldedLineCheck()\n",
        '        """Send bytes of the next request."""\n',
        "test_response_heads",
    ),
    Mutation(
        "answers: heads behind interim ones are checked for folded lines",
        "response_heads",
        "            if not _INTERIM_STATUS.match(self._head):\n",
        "            if True:\n",
        "test_response_heads",
    ),
    Mutation(
        "answers: an unfinished response without chunks ends with a reset",
        "caller_messages",
        "            _set_reset_on_close(self._stream, True)\n",
        "            pass\n",
        "test_callers_without_chunks",
    ),
    Mutation(
        "answers: a finished response without chunks ends in order",
        "caller_messages",
        "            _set_reset_on_close(self._stream, False)\n",
        "            pass\n",
        "test_callers_without_chunks",
    ),
)
