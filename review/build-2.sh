#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Run it in the repository's root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/_stand2
