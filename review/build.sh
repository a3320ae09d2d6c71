#!/usr/bin/env bash
# Builds what the cases start, from the repository's root: the project's programs as the deploy file does, and the
# driver of the cases with its stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
if [ ! -x bin/irispost ]; then
  CGO_ENABLED=1 go build -buildvcs=false -trimpath -ldflags=-linkmode=external -o bin/ ./cmd/...
fi
go build -buildvcs=false -trimpath -o bin/review-cases ./review/testdata/cases
