#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target
go build -o ../../target/review-stand .
