#!/usr/bin/env bash
# Makes the generated code again and fails where it differs from what is committed.
set -euo pipefail
cd "$(dirname "$0")/../.."
before=$(cat packages/wire/src/gen/stallwing/v1/*.ts | sha256sum)
npm run --silent generate
after=$(cat packages/wire/src/gen/stallwing/v1/*.ts | sha256sum)
if [ "$before" != "$after" ]; then
	echo "generated code is out of date: run npm run generate" >&2
	exit 1
fi
