#!/bin/sh
# The stand-ins need Python's standard library only, so this compiles them into
# a temporary folder: it fails if one of them is not valid.
cd "$(dirname "$0")" || exit 1
folder=$(mktemp -d) || exit 1
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q -f .
code=$?
rm -rf "$folder"
exit "$code"
