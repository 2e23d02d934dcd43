#!/usr/bin/env bash
# Print the revision of the product code in this checkout: a digest of its sources, without the tests.
set -eu
cd "$(dirname "$0")/.."
find yewloom -name '*.py' -not -path 'yewloom/tests/*' -print0 | LC_ALL=C sort -z |
    xargs -0 sha256sum | sha256sum | cut -c1-12
