#!/bin/sh
# Builds the stand-ins and the driver of the scripts into review/bin. The programs of the project come from the build
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/lab review/lab/*.go
