#!/bin/sh
# Builds the stand-in that the scripts of the cases 11 and later start.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin-3 .
