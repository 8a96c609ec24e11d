#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/standin-3 .
