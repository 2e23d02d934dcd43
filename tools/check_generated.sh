#!/usr/bin/env bash
# Fail if the committed generated code differs from code generated from the schema.
set -eu
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
bash tools/generate.sh "$out"
diff -r --exclude='*.proto' --exclude='__init__.py' --exclude='__pycache__' \
    "$out/yewloom/schema" yewloom/schema \
    || { echo "The generated code is out of date; run tools/generate.sh." >&2; exit 1; }
