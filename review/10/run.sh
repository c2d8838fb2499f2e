#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
binary=target/review-2/case-$(basename "$here")
if [ ! -x "$binary" ] || [ ! -x target/acaciaspring_gatewayd ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
RECORD="$here/record.txt" timeout -k 2 115 "$binary" "$directory"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$directory"/*.log "$KEEP_LOGS"/
[ "$status" -le 1 ] && exit "$status"
exit 2
