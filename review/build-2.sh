#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 9 start (case 10 is a day). The stand-ins (keptCallers, rig, store and streams in review/6; box, case,
# server and store in review/7; boxes, config, links, server and store in review/8, for cases 8 and 9; server in review/9) are plain
# JavaScript and need Node only, so this checks that they can be read. The boxes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs; do
	node --check "$file"
done
test -f ../target/stallwing.js || { echo 'target/stallwing.js is missing: run the build of deploy/system.toml first' >&2; exit 1; }
