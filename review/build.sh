#!/bin/sh
# Builds the stand-ins of the scripts, which use the standard library only. The program under test is built with the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p target
for name in entry unread grace; do
    rustc --edition 2021 -O "standins/$name.rs" -o "target/$name"
done
