#!/usr/bin/env bash
# Builds the program of the script cases 11 and later: stand-ins of the store, of replicas and of clients, and the cases themselves.
# It needs no network. The project's own programs come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/third"
export GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0
mkdir -p ../../target/review-3
go build -buildvcs=false -o ../../target/review-3/third .
