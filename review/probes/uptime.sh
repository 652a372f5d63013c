#!/usr/bin/env bash
# A probe of src/bin/proxy/engine/clock.rs, which needs no program and no real time. Exits with 1 if the fault is there.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
rustc --edition 2024 --crate-name tokio --crate-type rlib -o "$folder/libtokio.rlib" tokio_stub.rs || exit 2
rustc --edition 2024 --extern tokio="$folder/libtokio.rlib" -o "$folder/probe" uptime.rs || exit 2
"$folder/probe"
