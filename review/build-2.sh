#!/bin/bash
# Builds the stand-in that the scripts of the cases 6 to 10 start, after the build line of the deploy file.
set -e
cd "$(dirname "$0")/standin2"
CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-standin2 .
