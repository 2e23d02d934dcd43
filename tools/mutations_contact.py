"""Mutations of what hosts conclude from the store's answers, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "store contact: entries expire only in a long time without an answer",
        "store_contact",
        "        if answered_s - answers.last_s >= self._expiry_s:\n",
        "        if True:\n",
        "test_silent_store",
    ),
    Mutation(
        "store contact: answers in the endpoint's own data centre show that its entry is gone",
        "store_contact",
        "        return self._return_in(data_centre, since_s, now_s)\n",
        "        return here_s\n",
        "test_silent_store",
    ),
    Mutation(
        "store contact: an absence from before the last confirmation counts no more",
        "store_contact",
        "answers.returned_s if answers.returned_s > since_s else -math.inf",
        "answers.returned_s",
        "test_store_contact",
    ),
    Mutation(
        "store contact: answers to peers count",
        "store_contact",
        "            self._record(DataCentreId(state.data_centre), answered_s)\n",
        "            pass\n",
        "test_silent_store",
    ),
    Mutation(
        "directory: missing endpoints are kept for their time",
        "directory",
        "self.by_id.keys() - listed.keys() - missing_until_s.keys()",
        "self.by_id.keys() - listed.keys()",
        "test_silent_store",
    ),
    Mutation(
        "selection: a missing endpoint is used when the listed ones are full",
        "selection",
        "penalty += MISSING_PENALTY if may_retry else AVOIDED_PENALTY",
        "penalty += 0.0",
        "test_selection",
    ),
    Mutation(
        "store trust: the store alone confirms nothing before the peers are heard",
        "store_trust",
        "        return self._trusts\n",
        "        return True\n",
        "test_store_trust",
    ),
    Mutation(
        "store trust: a store that lacks a version confirms nothing",
        "configuration",
        "        if not self.is_outdated:\n            self._store",
        "        if True:\n            self._store",
        "test_store_trust",
    ),
    Mutation(
        "store trust: a newer version discards what the store said before",
        "configuration",
        "        if self.is_outdated and not self._trusts_store():\n",
        "        if False:\n",
        "test_store_trust",
    ),
)
