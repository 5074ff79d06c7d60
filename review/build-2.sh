#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2, without a network: all packages are among
# those of the project's own lock file. The program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline --target-dir ../../target/review-2
