#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the second review, which are one Go program of the standard library only. Its
# sources in review/harness-2/ end in .txt to stay out of the checks and tests of the project. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review2/_source
rm -rf "$source"
mkdir -p "$source"
for f in review/harness-2/*.go.txt; do
  cp "$f" "$source/$(basename "$f" .txt)"
done
go build -o target/review2/harness2 "./$source"
