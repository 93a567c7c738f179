#!/bin/sh
# Builds what the scripts of the cases start, besides the program of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-standin ./review/standin
