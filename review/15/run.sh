#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/review-3/review3" ] || [ ! -x "$root/target/masticcartd" ]; then
  echo "run the build of the deploy file and review/build-3.sh first"
  exit 2
fi
exec "$root/target/review-3/review3" closing "$root" "$PWD"
