#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of deploy/system.toml.
# Needs the modules of go.mod and nothing more.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin3 ./review/standin3
