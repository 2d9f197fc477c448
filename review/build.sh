#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -o ../bin/standin .
