#!/usr/bin/env bash
# The stand-ins of the second review need the standard library alone: they are only compiled here,
# into a temporary folder, so that a syntax error shows before a case runs.
set -e
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile review/stand_ins_2.py review/[4-9]/case.py
