#!/usr/bin/env bash
# Build the stand-ins of the cases. They use only Python's standard library, so this compiles them.
set -eu
cd "$(dirname "$0")"
for file in stand_ins.py */*.py; do python3 -m py_compile "$file"; done
