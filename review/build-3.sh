#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -trimpath -o ../bin/standin-3 .
