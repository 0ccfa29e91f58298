#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/. They need the standard library only.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-2/stand .
