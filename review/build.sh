#!/usr/bin/env bash
# Builds the programs of the review's cases, with their stand-ins, into
# target/review/. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/[1-9]/Case.cpp; do
  [ -e "$Source" ] || continue
  Number=$(basename "$(dirname "$Source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins \
    -o "target/review/case$Number" "$Source" review/standins/Standins.cpp
done
