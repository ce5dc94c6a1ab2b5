#!/usr/bin/env bash
# Builds the program of the cases 11 to 15 into target/review-3/. It uses only the standard library and no network.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for f in "$root"/review/harness-3/*.txt; do
  cp "$f" "$work/$(basename "$f" .txt)"
done
mkdir -p "$root/target/review-3"
cd "$work"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o "$root/target/review-3/review3" .
