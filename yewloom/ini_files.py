"""INI parser configuration; imports little, because it is used early during process start."""

import configparser


def new_parser() -> configparser.ConfigParser:
    """Return a parser without interpolation that allows inline comments."""
    return configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
