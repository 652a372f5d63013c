#!/usr/bin/env bash
# Builds the stand-ins of the cases, each a program that needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/; do
    case=${case%/}
    if [ -f "$case/case.rs" ]; then rustc --edition 2024 -O -o "bin/case$case" "$case/case.rs"; fi
done
