#!/usr/bin/env bash
# Builds the stand-ins of the second review into bin/. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../bin/standin-2 .
