#!/usr/bin/env bash
# Exits with 1 if a planned stop cut off a charge that a replica had been given.
cd "$(dirname "$0")/../.."
export RECORD=review/9/record.txt
exec java -cp target/review-2 Roll
