"""Generate the references of settings and table cells in docs/ from the schema, or check them."""

import sys
from pathlib import Path

from google.protobuf.descriptor import Descriptor

from yewloom.schema import entry_pb2, settings_pb2, table_pb2
from yewloom.validation import allowed_text, is_scalar, rule_of

_TABLE_HEADER = "| {} | accepts | default | meaning |\n|---|---|---|---|\n"


def _table(kind: str, message: Descriptor) -> str:
    rows = [_TABLE_HEADER.format(kind)]
    for field in message.fields:
        if not is_scalar(field):
            continue
        rule = rule_of(field)
        default = "required" if rule.required else f"`{rule.default}`" if rule.default else "empty"
        rows.append(f"| `{field.name}` | {allowed_text(field)} | {default} | {rule.doc} |\n")
    return "".join(rows) if len(rows) > 1 else "This one has no cells.\n"


def settings_reference() -> str:
    """Return the page of all settings of ``yewloomd``."""
    return _sections_reference("Settings", "settings.proto", settings_pb2.Settings.DESCRIPTOR)


def entry_settings_reference() -> str:
    """Return the page of all settings of an entry host on the users' platform."""
    title = "Settings on the users' platform"
    return _sections_reference(title, "entry.proto", entry_pb2.EntrySettings.DESCRIPTOR)


def _sections_reference(title: str, source: str, settings: Descriptor) -> str:
    parts = [f"# {title}\n\nGenerated from `yewloom/schema/{source}` by `make docs`.\n"]
    for section in settings.fields:
        parts.append(f"\n## [{section.name}]\n\n{_table('key', section.message_type)}")
    return "".join(parts)


def table_reference() -> str:
    """Return the page of all table cells."""
    parts = [
        "# Cells of the table\n\nGenerated from `yewloom/schema/table.proto` by `make docs`.\n"
    ]
    for kind in table_pb2.Row.DESCRIPTOR.oneofs_by_name["cells"].fields:
        parts.append(f"\n## {kind.name}/NAME\n\n{_table('cell', kind.message_type)}")
        for nested in kind.message_type.fields:
            if nested.message_type is not None:
                parts.append(f"\n### {nested.name}\n\n{_table('cell', nested.message_type)}")
    return "".join(parts)


def main() -> int:
    """Write the pages if called with --write; otherwise return 1 if any page is out of date."""
    pages = {
        Path("docs/settings.md"): settings_reference(),
        Path("docs/entry-settings.md"): entry_settings_reference(),
        Path("docs/table-cells.md"): table_reference(),
    }
    if "--write" in sys.argv:
        for path, text in pages.items():
            path.write_text(text, encoding="utf-8")
        return 0
    outdated = [p for p, text in pages.items() if not p.exists() or p.read_text("utf-8") != text]
    for path in outdated:
        print(f"{path} is out of date; run `make docs`.", file=sys.stderr)
    return 1 if outdated else 0


if __name__ == "__main__":
    raise SystemExit(main())
