#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/stand2 .
