#!/usr/bin/env bash
# Builds every stand-in that a script of this review starts. They are plain modules that need no build step and no
# package, so this checks that each of them is there and can be parsed.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
