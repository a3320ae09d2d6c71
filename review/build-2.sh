#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: one program that holds the
# stand-ins, the project's own storage node (internal/standin) and xDS server among them, and the clients.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && go build -buildvcs=false -o bin/review-cases-2 ./review/testdata/second
