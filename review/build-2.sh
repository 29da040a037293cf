#!/usr/bin/env bash
# Builds the programs of the cases of REPORT-2.md, and of what it lists as seen,
# with their stand-ins, into target/review-2/. The gateway itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cc review/seen-2/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
