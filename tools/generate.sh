#!/usr/bin/env bash
# Generate the Python code of the schema into the given folder, or in place if none is given.
set -eu
out="${1:-.}"
python -m grpc_tools.protoc -I . --python_out="$out" --pyi_out="$out" yewloom/schema/*.proto
python -m grpc_tools.protoc -I . --grpc_python_out="$out" yewloom/schema/peer.proto
