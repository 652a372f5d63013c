#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/6 to review/10). They use the standard library alone, so that
# the compiler is all they need; no network. Run from anywhere, after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
for source in "$root"/review/*/case.rs; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    case "$name" in 6 | 7 | 8 | 9 | 10) ;; *) continue ;; esac
    rustc --edition 2024 -O -o "$out/case-$name" "$source"
done
