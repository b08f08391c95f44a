#!/usr/bin/env bash
# Regenerates the Twirp and protobuf code in internal/rpc.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$tools/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$tools:$PATH" protoc -I internal/rpc \
  --go_out=internal/rpc --go_opt=paths=source_relative \
  --twirp_out=internal/rpc --twirp_opt=paths=source_relative \
  internal/rpc/heatherbarrow.proto internal/rpc/gateway.proto
