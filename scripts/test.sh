#!/usr/bin/env bash
# Checks types and style, builds, runs every test, and closes with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
npm run --silent typecheck && npm run --silent lint && npm run --silent build || { echo '0 passed, 1 failed'; exit 1; }
log=$(mktemp)
npx ava --tap "$@" > "$log"
status=$?
grep -E '^(not ok|Bail out)' -A 40 "$log"
passed=$(grep -c '^ok ' "$log")
failed=$(grep -c '^not ok ' "$log")
rm -f "$log"
if [ "$status" -ne 0 ] && [ "$failed" -eq 0 ]; then failed=1; fi
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
echo "$passed passed, $failed failed"
exit "$status"
