#!/usr/bin/env bash
# Runs the type check, lint, build and all tests; the last line is "N passed, N failed".
# Only the tests listed in KNOWN-RED.txt may fail (lines "test: TITLE", without the file path that ava prefixes to the title).
set -uo pipefail
cd "$(dirname "$0")/.."
npm run --silent typecheck && npm run --silent lint && npm run --silent build || { echo '0 passed, 1 failed'; exit 1; }
log=$(mktemp)
status=0
run_tests() { npx ava --tap "$@" >> "$log" || status=$?; }
if [ $# -gt 0 ]; then
  run_tests "$@"
else
  # Process tests run last and one at a time, because their deadlines are in real time.
  run_tests '**/*.test.ts' '!test/processes/**' '!test/soak/**'
  run_tests --concurrency=1 'test/processes/**' 'test/soak/**'
fi
passed=$(grep -c '^ok ' "$log")
failed=$(grep '^not ok ' "$log" | sed -E 's/^not ok [0-9]+ - //; s/^.* › //')
known=$([ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt)
unexpected_titles=$(grep -vxF -e "$known" <<< "$failed")
unexpected=$(grep -c . <<< "$unexpected_titles")
expected=$(grep -c . <<< "$failed")
expected=$((expected - unexpected))
# A run that was aborted, or that failed outside of a test, always counts as a failure.
if [ "$status" -ne 0 ] && { [ -z "$failed" ] || grep -q '^Bail out' "$log"; }; then
  unexpected=$((unexpected + 1))
  echo "ava exited with code $status without a failed test; a test file whose process did not exit after its tests has this effect ('npx ava FILE' names it). The end of its output, and its comments:"
  tail -n 60 "$log"
  grep '^# ' "$log"
fi
# A long output is cut in its middle where it is kept, so the failures come last, and the titles that fail the run at the very end.
if [ -s KNOWN-RED.txt ]; then echo "$expected known failures, from KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
grep -E '^(not ok|Bail out)' -A 40 "$log"
rm -f "$log"
if [ -n "$unexpected_titles" ]; then echo 'Failed, and not in KNOWN-RED.txt:'; echo "$unexpected_titles"; fi
echo "$passed passed, $unexpected failed"
[ "$unexpected" -eq 0 ]
