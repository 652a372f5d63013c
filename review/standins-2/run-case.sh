#!/usr/bin/env bash
# Runs the stand-ins of one case: run-case.sh FOLDER RECORD. Each review/N/run.sh calls it; the stand-ins write RECORD.
set -u
case_dir=$(cd "$1" && pwd)
root=$(cd "$case_dir/../.." && pwd)
program="$root/target/review-2/case-$(basename "$case_dir")"
for needed in "$program" "$root/target/release/proxy" "$root/target/release/registry"; do
    if [ ! -x "$needed" ]; then
        echo "COULD NOT RUN: ${needed#"$root"/} is missing: run the deploy file's build and review/build-2.sh"
        exit 2
    fi
done
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
ROOT="$root" RECORD="$2" TMP_DIR="$tmp" TROUBLE="${TROUBLE:-1}" timeout -k 5 110 "$program"
code=$?
case "$code" in 0 | 1 | 2) exit "$code" ;; *) echo "COULD NOT RUN: the stand-ins ended with $code"; exit 2 ;; esac
