#!/usr/bin/env bash
# Generates packages/protocol/generated from packages/protocol/proto.
set -euo pipefail
cd "$(dirname "$0")/../packages/protocol"
protoc -I proto --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
