#!/bin/sh
# Builds the stand-ins of the second review. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin2 ./review/standin2
