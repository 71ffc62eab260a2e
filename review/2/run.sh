#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PIDS_FILE=$(mktemp) || exit 2
export PIDS_FILE
# Ends what is left if the case itself was killed: only programs that it started, by their ids.
end_rest () {
  while read -r pid; do
    case $(ps -o args= -p "$pid" 2> /dev/null) in *target/agategauge\ serve\ --platform) kill -KILL "$pid" ;; esac
  done < "$PIDS_FILE"
  rm -f "$PIDS_FILE"
}
node case.mjs &
case_pid=$!
interrupt () {
  kill -TERM "$case_pid" 2> /dev/null
  wait "$case_pid"
  end_rest
  exit 2
}
trap interrupt HUP INT TERM
wait "$case_pid"
code=$?
end_rest
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
