#!/bin/bash
# The stand-ins of the cases are plain Node.js scripts of this folder without dependencies: nothing is compiled.
# Checks that all of them can be parsed.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
