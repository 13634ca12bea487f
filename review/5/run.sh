#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out its disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec target/review/case5 review/5/record.txt
