#!/usr/bin/env bash
# Probes of the registry, not cases: `registry.sh double-start` or `registry.sh snapshot-kill`.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
rustc --edition 2021 -O -o "$folder/probe" "$here/registry.rs" || exit 2
"$folder/probe" "${1:-}"
