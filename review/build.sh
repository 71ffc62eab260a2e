#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this checks that the program is built and that they can be read.
set -eu
cd "$(dirname "$0")"
test -x ../target/agategauge
for file in lib/*.mjs ./*/case.mjs; do node --check "$file"; done
