#!/usr/bin/env bash
# Runs the case in the folder given as the first argument. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$1" || exit 2
rm -f record.txt
TMPDIR=$(mktemp -d) || exit 2
PIDS=$TMPDIR/pids
export TMPDIR PIDS
node case.mjs &
pid=$!
trap 'kill "$pid" 2> /dev/null' TERM INT HUP
wait "$pid"
code=$?
if [ "$code" -ge 128 ]; then
  # The script was ended before it could end the processes that it had started.
  wait "$pid"
  if [ -f "$PIDS" ]; then while read -r started; do kill -9 "$started" 2> /dev/null; done < "$PIDS"; fi
  code=2
fi
[ "$KEEP" = 1 ] || rm -rf "$TMPDIR"
# A case that ends by an error of its own shows nothing.
if [ "$code" = 1 ] && ! grep -q 'BROKEN:' record.txt; then exit 2; fi
exit "$code"
