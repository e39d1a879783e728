#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
