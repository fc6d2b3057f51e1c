#!/usr/bin/env bash
# Builds what the scripts of cases 7 to 10 start. The stand-ins (box, case, server and store, in review/7, for cases 7 and 10; boxes,
# config, links, server and store, in review/8, for cases 8 and 9; server in review/9) are plain JavaScript and need Node
# only, so this checks that they can be read. The boxes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
	node --check "$file"
done
test -f ../target/stallwing.js || { echo 'target/stallwing.js is missing: run the build of deploy/system.toml first' >&2; exit 1; }
