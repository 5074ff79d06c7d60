#!/bin/sh
# A steward is killed and starts again with an old known list; a host has left meanwhile. 28 s.
# Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 plays it without the kill.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
if [ ! -x "$ROOT/target/review/standin" ] || [ ! -x "$ROOT/target/release/ravenspar" ]; then
    echo "could not run: not built" | tee record.txt
    exit 2
fi
exec "$ROOT/target/review/standin" removed record.txt
