#!/bin/sh
# Plays one case of this review: play-2.sh FOLDER CASE. The case's driver starts the program, and everything that it
# starts is ended with it. Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program="$PWD/target/release/ravenspar"
driver="$PWD/target/review-2/release/ravenspar-review-2"
for file in "$program" "$driver"; do
    if [ ! -x "$file" ]; then
        echo "not played: $file is not built"
        exit 2
    fi
done
work=$(mktemp -d) || exit 2
clean() {
    # Whatever a driver that was cut off has left: by its id, and only if it is still a process of this folder.
    if [ -f "$work/pids" ]; then
        while read -r id; do
            if [ -r "/proc/$id/cmdline" ] && tr '\0' ' ' < "/proc/$id/cmdline" | grep -qF "$work"; then
                kill -KILL "$id" 2>/dev/null
            fi
        done < "$work/pids"
    fi
    rm -rf "$work"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout -k 1 118 "$driver" "$2" "$program" "$work" "$folder/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *)
        [ -f "$work/steward.log" ] && tail -n 20 "$work/steward.log"
        exit 2
        ;;
esac
