#!/bin/sh
# Builds the stand-ins of the second review. It needs the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false go build -trimpath -o ../bin/standin2 .
GOWORK=off GOFLAGS=-buildvcs=false go build -trimpath -o ../bin/standin2-fleet ./fleet
