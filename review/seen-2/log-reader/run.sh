#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
top=$(cd ../../.. && pwd)
number=$(basename "$PWD")
program=$top/target/review-2/case-$number
export GATEWAY=$top/target/parsleyring-gateway
[ -x "$program" ] && [ -x "$GATEWAY" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$PWD" "$folder"
status=$?
[ $status -le 1 ] && exit $status
exit 2
