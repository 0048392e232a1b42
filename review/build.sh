#!/bin/sh
# Builds the stand-ins of all cases into target/review/. Run it in the repository's root.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
