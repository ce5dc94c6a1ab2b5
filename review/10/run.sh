#!/usr/bin/env bash
# Plays the case last; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
harness=$root/target/review2/harness2
if [ ! -x "$harness" ] || [ ! -x "$root/target/masticcartd" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec "$harness" last "$root" "$here"
