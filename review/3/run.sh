#!/bin/sh
# Discovery answers in pieces, each answer whole within 2 s; a host drains. 34 s.
# Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 plays it with whole answers.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
if [ ! -x "$ROOT/target/review/standin" ] || [ ! -x "$ROOT/target/release/ravenspar" ]; then
    echo "could not run: not built" | tee record.txt
    exit 2
fi
exec "$ROOT/target/review/standin" pieces record.txt
