#!/usr/bin/env bash
# Exits with 1 if more than two streams hold events of two software versions.
cd "$(dirname "$0")/../.."
export RECORD=review/6/record.txt
exec java -cp target/review-2 Versions
