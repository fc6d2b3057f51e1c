#!/bin/sh
# Builds what the scripts of the cases start besides the program of the deploy file. The stand-ins are plain modules that
# run as they are, so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/case.mjs; do
	node --check "$file"
done
