"""Settings of an entry host: reads the INI file, applies defaults and validates values.

Keys, units, ranges and defaults are defined in ``schema/settings.proto``.
"""

import configparser
import os
from pathlib import Path
from typing import TypeVar

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from result import Err, Ok, Result

from yewloom.ini_files import new_parser
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.schema.settings_pb2 import LeaseSettings, Settings
from yewloom.validation import allowed_text, apply_defaults, fields_of, parse_value, rule_of
from yewloom.values import value_class

SettingsT = TypeVar("SettingsT", bound=Message)


@value_class
class SettingsError:
    """Why a settings file can't be used and how to fix it, in one sentence."""

    message: str

    def __str__(self) -> str:
        return self.message


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file."""
    return _read_text(path).and_then(lambda text: parse_settings(text, str(path)))


def parse_settings(text: str, source: str) -> Result[Settings, SettingsError]:
    """Parse the text of an INI file as settings; ``source`` names the file in error messages."""
    parsed = parse_sections(text, source, Settings())
    return parsed.and_then(lambda settings: _check_cross_field_rules(settings, source))


def read_entry_settings(path: Path) -> Result[EntrySettings, SettingsError]:
    """Read and validate the settings file of an entry host on the users' platform."""
    return _read_text(path).and_then(lambda text: parse_entry_settings(text, str(path)))


def parse_entry_settings(text: str, source: str) -> Result[EntrySettings, SettingsError]:
    """Parse the text of an INI file as the settings of an entry host."""
    parsed = parse_sections(text, source, EntrySettings())
    return parsed.and_then(lambda s: _check_lease(s.lease, source).map(lambda _: s))


def parse_sections(text: str, source: str, settings: SettingsT) -> Result[SettingsT, SettingsError]:
    """Fill an empty message from an INI file that has one section per field."""
    parser = new_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        summary = " ".join(str(error).split())
        return Err(SettingsError(f"{source} is not an INI file ({summary}); correct that line."))
    sections = {field.name: field for field in settings.DESCRIPTOR.fields}
    for name in parser.sections():
        if name not in sections:
            known = ", ".join(sorted(sections))
            return _error(source, f"[{name}] is not a known section; use one of {known}.")
    for name in sections:
        section = getattr(settings, name)
        section.SetInParent()
        values = dict(parser[name]) if parser.has_section(name) else {}
        problem = _fill_section(section, values)
        if problem is not None:
            return _error(source, f"[{name}] {problem}")
    return Ok(settings)


def _fill_section(section: Message, values: dict[str, str]) -> str | None:
    """Fill one section in place; return an error message, or None."""
    fields = fields_of(section)
    for key in values:
        if key not in fields:
            return f"{key} is not a known key; use one of {', '.join(sorted(fields))}."
    apply_defaults(section)
    for key, field in fields.items():
        if key in values:
            problem = _fill_field(section, field, values[key])
            if problem is not None:
                return problem
        elif rule_of(field).required:
            return f"{key} is missing; set it to {allowed_text(field)}."
    return None


def _fill_field(section: Message, field: FieldDescriptor, text: str) -> str | None:
    match parse_value(field, text):
        case Err(error):
            return f"{error}."
        case Ok(value):
            if rule_of(field).required and value == "":
                return f"{field.name} is empty; set it to {allowed_text(field)}."
            setattr(section, field.name, value)
    return None


def _check_cross_field_rules(settings: Settings, source: str) -> Result[Settings, SettingsError]:
    """Validate constraints that involve several keys."""
    groups, tls = settings.groups, settings.tls
    match _check_lease(settings.lease, source):
        case Err(error):
            return Err(error)
    if groups.give_up_ms < groups.freshness_ms:
        return _error(
            source,
            f"[groups] give_up_ms is {groups.give_up_ms}; set it to freshness_ms "
            f"({groups.freshness_ms}) or more, so that a group stops before it is dissolved.",
        )
    if settings.host.data_centre not in settings.limits.data_centres.split():
        return _error(
            source,
            f"[limits] data_centres is {settings.limits.data_centres!r}; name "
            f"{settings.host.data_centre!r} too, or this data centre has no part of any limit.",
        )
    if bool(tls.certificate_file) != bool(tls.key_file):
        return _error(source, "[tls] certificate_file and key_file go together; set both or none.")
    return _check_files(settings, source)


def _check_lease(lease: LeaseSettings, source: str) -> Result[None, SettingsError]:
    if lease.renew_interval_ms + 2 * lease.margin_ms < lease.duration_ms:
        return Ok(None)
    return Err(
        SettingsError(
            f"{source}: [lease] duration_ms is {lease.duration_ms}; set it above "
            "renew_interval_ms plus twice margin_ms, so that a renewal comes before the lease ends."
        )
    )


def _check_files(settings: Settings, source: str) -> Result[Settings, SettingsError]:
    """Check that the files named in the settings are readable."""
    files = {
        "[platform] token_file": settings.platform.token_file,
        "[tls] certificate_file": settings.tls.certificate_file,
        "[tls] key_file": settings.tls.key_file,
        "[tls] authority_file": settings.tls.authority_file,
    }
    for name, path in files.items():
        if path and not os.access(path, os.R_OK):
            return _error(source, f"{name} is {path}; name a file that can be read.")
    return Ok(settings)


def _read_text(path: Path) -> Result[str, SettingsError]:
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(f"{path} can't be read ({error}); give an INI file in UTF-8."))


def _error(source: str, message: str) -> Err[SettingsError]:
    return Err(SettingsError(f"{source}: {message}"))
