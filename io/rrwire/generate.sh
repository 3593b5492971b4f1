#!/usr/bin/env bash
# Generates wire.pb.go and wire.twirp.go. Needs protoc; the plugins come from the tools module.
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
out=${1:-.}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$root/tools" && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
PATH="$bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative wire.proto
