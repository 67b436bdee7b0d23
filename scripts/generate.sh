#!/usr/bin/env bash
# Generates the protobuf code. Requires protoc, protoc-gen-go and protoc-gen-go-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative api/arbutuspb/arbutus.proto
