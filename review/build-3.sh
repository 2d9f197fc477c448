#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. It needs no network and no module.
set -euo pipefail
cd "$(dirname "$0")/standin3"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standin3 .
