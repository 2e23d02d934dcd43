"""Tests of the table: no value is reverted, no edit is lost, one of two concurrent edits wins."""

import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

from yewloom.ids import AttemptId, RowName
from yewloom.operations import Edit, OperationError, apply_edit, cells_by_path
from yewloom.schema.table_pb2 import CustomerRow, Row, RowChange, VersionedRow
from yewloom.tables import (
    HISTORY_LENGTH,
    TABLE_PREFIX,
    Table,
    contains_attempt,
    edit_row,
    parse_row_name,
)
from yewloom.tests.support import FakePlatform, WriteFault, run_on_mock_clock
from yewloom.watchers import parse_row

ROW = RowName("customer/c")
DIGEST = "key_digest"


def _versioned(name: str, version: int) -> VersionedRow:
    row = Row(customer=CustomerRow(weight=float(version)))
    return VersionedRow(name=name, version=version, row=row)


_ROWS = st.builds(_versioned, st.sampled_from(["customer/a", "customer/b"]), st.integers(1, 9))


def _edit(weight: str, editor: str, expected: int | None = None) -> Edit:
    return Edit(ROW, editor, 0, {"weight": weight, DIGEST: "d"}, expected)


class TestTable(unittest.TestCase):
    """Rows as an entry host applies them."""

    @given(st.lists(_ROWS, max_size=20), st.randoms(use_true_random=False))
    def test_highest_versions_are_kept_in_any_order_of_arrival(
        self, rows: list[VersionedRow], rng: "object"
    ) -> None:
        first, second = Table(), Table()
        highest: dict[str, int] = {}
        for row in rows:
            before = highest.get(row.name, 0)
            self.assertEqual(first.apply(row), row.version > before)
            highest[row.name] = max(before, row.version)
        for row in reversed(rows):
            second.apply(row)
        self.assertEqual({r.name: r.version for r in first.versions()}, highest)
        self.assertEqual(first.digest, second.digest)

    @given(st.lists(_ROWS, max_size=12), st.lists(_ROWS, max_size=12))
    def test_one_exchange_makes_tables_equal(
        self, here: list[VersionedRow], there: list[VersionedRow]
    ) -> None:
        mine, peers = Table(), Table()
        for row in here:
            mine.apply(row)
        for row in there:
            peers.apply(row)
        for row in peers.rows_in_differing_buckets(mine.bucket_digests):
            mine.apply(row)
        for row in mine.rows_in_differing_buckets(peers.bucket_digests):
            peers.apply(row)
        self.assertEqual(mine.digest, peers.digest)
        self.assertEqual(list(mine.rows()), list(peers.rows()))

    def test_deleted_row_is_hidden_but_keeps_its_version(self) -> None:
        table = Table()
        table.apply(_versioned(ROW, 1))
        self.assertEqual(list(table.customers()), ["c"])
        table.apply(VersionedRow(name=ROW, version=2, row=Row(deleted=True)))
        self.assertIsNone(table.get(ROW))
        self.assertEqual(table.customers(), {})
        self.assertFalse(table.apply(_versioned(ROW, 1)))


class TestEditRow(unittest.TestCase):
    """Edits of cells, whose values have bounds."""

    def test_new_row_starts_from_the_defaults(self) -> None:
        cells = {"model": "m", "downtime.spare_hosts": "2", "score": ""}
        row = edit_row(RowName("policy/p"), None, cells, RowChange(attempt_id="a")).unwrap()
        self.assertEqual((row.policy.group_size, row.policy.downtime.spare_hosts), (4, 2))
        self.assertEqual(row.policy.score.prefix_weight, 1.0)

    def test_each_error_says_how_to_fix_it(self) -> None:
        cases = {
            "weight": ("heavy", "from 0.001 to 1000"),
            "colour": ("red", "use one of"),
            "max_in_flight": ("-1", "from 0 to 1000000"),
        }
        for cell, (value, correction) in cases.items():
            error = edit_row(ROW, None, {cell: value, DIGEST: "d"}, RowChange()).err()
            self.assertIn(correction, str(error))
        missing = edit_row(ROW, None, {}, RowChange()).err()
        self.assertIn("key_digest is missing", str(missing))

    def test_row_records_its_latest_edits(self) -> None:
        row = None
        for number in range(HISTORY_LENGTH + 3):
            change = RowChange(attempt_id=str(number))
            row = edit_row(ROW, row, {DIGEST: "d"}, change).unwrap()
        assert row is not None
        self.assertEqual(len(row.history), HISTORY_LENGTH)
        self.assertTrue(contains_attempt(row, AttemptId("4")))
        self.assertFalse(contains_attempt(row, AttemptId("2")))

    @given(st.text(max_size=30))
    def test_any_text_is_a_row_name_or_gives_an_error(self, text: str) -> None:
        result = parse_row_name(text)
        self.assertTrue(result.ok() or "use one of" in str(result.err()))


class TestApplyEdit(unittest.TestCase):
    """Concurrent edits, and lost answers."""

    def test_one_of_two_concurrent_edits_fails_and_reports_the_other(self) -> None:
        async def scenario() -> list[object]:
            platform = FakePlatform()
            await apply_edit(platform, _edit("1", "setup"))
            results: list[object] = []

            async def edit(weight: str, editor: str) -> None:
                results.append(await apply_edit(platform, _edit(weight, editor)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(edit, "2", "ana")
                nursery.start_soon(edit, "3", "bela")
            return [result.ok() or result.err() for result in results]  # type: ignore[attr-defined]

        won, lost = sorted(run_on_mock_clock(scenario), key=lambda r: isinstance(r, OperationError))
        assert isinstance(won, VersionedRow) and isinstance(lost, OperationError)
        self.assertTrue(lost.is_conflict)
        self.assertIn(f"weight={cells_by_path(won)['weight']}", lost.message)
        self.assertIn(won.row.history[-1].editor, lost.message)

    def test_edit_of_an_old_version_is_rejected(self) -> None:
        async def scenario() -> OperationError | None:
            platform = FakePlatform()
            await apply_edit(platform, _edit("1", "ana"))
            return (await apply_edit(platform, _edit("2", "bela", expected=7))).err()

        error = run_on_mock_clock(scenario)
        assert error is not None
        self.assertTrue(error.is_conflict)

    @given(st.lists(st.sampled_from(list(WriteFault)), max_size=8), st.booleans())
    def test_reported_outcome_of_an_edit_is_true(
        self, faults: list[WriteFault], is_delayed: bool
    ) -> None:
        """An accepted edit was applied once; no edit is applied more than once."""

        async def scenario() -> tuple[bool, str, list[str]]:
            platform = FakePlatform()
            platform.next_write_faults = list(faults)
            async with trio.open_nursery() as nursery:
                if is_delayed:
                    nursery.start_soon(_apply_delayed_writes, platform)
                result = await apply_edit(platform, _edit("2", "ana"))
                await apply_edit(platform, _edit("3", "bela"))
                nursery.cancel_scope.cancel()
            platform.apply_delayed_writes()
            stored = platform.objects.get(f"{TABLE_PREFIX}{ROW}")
            editors = [c.editor for c in parse_row(stored).row.history] if stored else []
            return result.is_ok(), str(result.err()), editors

        accepted, message, editors = run_on_mock_clock(scenario)
        self.assertLessEqual(editors.count("ana"), 1)
        if accepted:
            self.assertEqual(editors.count("ana"), 1)


async def _apply_delayed_writes(platform: FakePlatform) -> None:
    while True:
        await trio.sleep(0.25)
        platform.apply_delayed_writes()
