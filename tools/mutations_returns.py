"""Mutations of the handling of a store that goes back, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "store return: a later era is greater than all earlier ones",
        "store_revisions",
        "    return era << NUMBER_BITS | number & _NUMBER_MASK\n",
        "    return number\n",
        "test_store_return",
    ),
    Mutation(
        "store return: a peer of an earlier era confirms nothing",
        "followed_position",
        "if self.position is not None and era_of(report.position) < era_of(self.position):",
        "if False:",
        "test_followed_position",
    ),
    Mutation(
        "store return: a watch that another era answers has expired",
        "platform/store",
        "        if response.era != era_of(position):\n",
        "        if False:\n",
        "test_platform_adapter",
    ),
    Mutation(
        "store return: a condition of an earlier era is not sent",
        "platform/store",
        "        if expected_version and era_of(expected_version) != self._era.latest:\n",
        "        if False:\n",
        "test_platform_adapter",
    ),
    Mutation(
        "store return: an entry that looks older is held back",
        "returned_entries",
        "if endpoint.id in known and _looks_older(endpoint, known[endpoint.id]):",
        "if False:",
        "test_store_return",
    ),
    Mutation(
        "store return: an endpoint that left is not added again at once",
        "returned_entries",
        "elif endpoint.id in self._removed:",
        "elif False:",
        "test_returned_entries",
    ),
    Mutation(
        "store return: a former holder waits for a lost lease",
        "leases",
        "return self._last_held_until_s > self._returned_s or now_s >= self._unknown_lease_end_s",
        "return True",
        "test_leases",
    ),
    Mutation(
        "store return: a lost placement record is continued",
        "coordinator_records",
        "if newest is not None and is_older and stored.attempt_id != newest.attempt_id:",
        "if False:",
        "test_store_return",
    ),
    Mutation(
        "store return: generations go beyond those of listed groups",
        "replica_plan",
        "return max(record.generation, self._directory.latest_generation(self._data_centre)) + 1",
        "return record.generation + 1",
        "test_replica_plan",
    ),
    Mutation(
        "store return: a lost address is published again",
        "entry_addresses",
        "            self._published_era, self._is_published = era, False\n",
        "            pass\n",
        "test_store_return",
    ),
    Mutation(
        "store return: a lost quarantine is written again",
        "quarantine_store",
        "current = (self._quarantines.change_count, self._store_era())",
        "current = (self._quarantines.change_count, 0)",
        "test_store_return",
    ),
    Mutation(
        "store return: lost claims are made again",
        "claim_writer",
        "            restore_lost_claims(self.record, known)\n",
        "            pass\n",
        "test_platform_return",
    ),
    Mutation(
        "store return: yewloomd watches from no position of an earlier era",
        "platforms",
        "                if self._era.latest != era_of(position):\n",
        "                if False:\n",
        "test_platform_return",
    ),
    Mutation(
        "store return: yewloomd sends no condition of an earlier era",
        "platforms",
        "                if expected_version and self._era.latest != era_of(expected_version):\n",
        "                if False:\n",
        "test_platform_return",
    ),
)
