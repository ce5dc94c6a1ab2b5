#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, the project's own that they use included. It needs no network after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standins ./review/standins
