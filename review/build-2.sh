#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the Go tool chain and its standard library alone, and no network.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../bin
CGO_ENABLED=0 GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../bin/review2 .
