#!/usr/bin/env bash
# Plays cases five times each, one after the other, and prints each result: five.sh N...
review=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
for case in "$@"; do
    failed=0
    for play in 1 2 3 4 5; do
        said=$(bash "$review/$case/run.sh")
        code=$?
        echo "case $case, play $play: exit $code: $said"
        [ "$code" = 1 ] && failed=$((failed + 1))
    done
    echo "case $case: failed in $failed of 5"
done
