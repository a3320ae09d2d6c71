#!/usr/bin/env bash
# Makes the captures of past failures anew, after the module's decisions were changed on purpose.
set -euo pipefail
cd "$(dirname "$0")"
for day in failing slow cold shift; do
	tmp=$(mktemp -d)
	go run ../../../cmd/irispost day "$day.hcl" --inside --capture "$tmp"
	mv "$tmp"/g1-*.iriscap "$day.iriscap"
	rm -r "$tmp"
done
