#!/usr/bin/env bash
# Generates the committed C++ code of the services: packages/protocol/generated and
# tests/standins/generated, each from the proto folder next to it.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in packages/protocol tests/standins; do
  protoc -I "$folder/proto" --cpp_out="$folder/generated" --grpc_out="$folder/generated" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$folder"/proto/*.proto
done
