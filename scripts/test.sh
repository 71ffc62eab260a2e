#!/usr/bin/env bash
# Checks types and style, builds, runs every test, and closes with "N passed, N failed".
# Tests named in KNOWN-RED.txt (lines "test: TITLE", without the path that ava puts before the title) may fail; all others may not.
set -uo pipefail
cd "$(dirname "$0")/.."
npm run --silent typecheck && npm run --silent lint && npm run --silent build || { echo '0 passed, 1 failed'; exit 1; }
log=$(mktemp)
status=0
run_tests() { npx ava --tap "$@" >> "$log" || status=$?; }
if [ $# -gt 0 ]; then
  run_tests "$@"
else
  # The clusters of processes come one after the other and after all else, since their deadlines run in real time.
  run_tests '**/*.test.ts' '!test/processes/**' '!test/soak/**'
  run_tests --concurrency=1 'test/processes/**' 'test/soak/**'
fi
grep -E '^(not ok|Bail out)' -A 40 "$log"
passed=$(grep -c '^ok ' "$log")
red=$(grep '^not ok ' "$log" | sed -E 's/^not ok [0-9]+ - //; s/^.* › //')
known=$([ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt)
unknown=$(grep -vxF -e "$known" <<< "$red" | grep -c .)
expected=$(grep -c . <<< "$red")
expected=$((expected - unknown))
# A run that ended early, or with an error outside of a test, is never passed over.
if [ "$status" -ne 0 ] && { [ -z "$red" ] || grep -q '^Bail out' "$log"; }; then unknown=$((unknown + 1)); fi
rm -f "$log"
if [ -s KNOWN-RED.txt ]; then echo "$expected known failures, from KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
echo "$passed passed, $unknown failed"
[ "$unknown" -eq 0 ]
