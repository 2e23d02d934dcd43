"""How the project's INI files are read; light enough for the first moments of a process."""

import configparser


def new_parser() -> configparser.ConfigParser:
    """Return a parser of INI files: values are taken as written, with comments behind them."""
    return configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
