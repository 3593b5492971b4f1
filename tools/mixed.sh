#!/usr/bin/env bash
# Runs two builds beside each other in one fleet, and the second on data that the first wrote.
#
#   tools/mixed.sh OLD NEW    OLD and NEW: folders with the binaries rattanring and rrlab
#
# It prints one line a check and exits with 1 when one fails. Everything runs on loopback.
set -uo pipefail
old=$1 new=$2
t=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$t"' EXIT
bad=0
ok() { printf '%-60s %s\n' "$1" "$2"; [ "$2" = ok ] || bad=1; }
same() { if [ "$2" = "$3" ]; then ok "$1" ok; else ok "$1" "differs: got $3, want $2"; fi; }
port=$((20000 + $$ % 20000))
store=127.0.0.1:$port
entry() { # BUILD NAME ZONE PORT
  RATTANRING_STORE=http://$store RATTANRING_LIST=http://$store RATTANRING_DRAIN=20s \
    "$1/rattanring" entry -name "$2" -zone "$3" -listen "127.0.0.1:$4" >"$t/$2.log" 2>&1 &
  pid=$!
  pids+=("$pid")
}
ready() { for _ in $(seq 100); do "$new/rattanring" status -entry "$1" 2>/dev/null | grep -q 'minion' && return; sleep 0.1; done; ok "entry $1 answers" no; }
start() { # three entries of the builds given, ports p, p+1, p+2
  p=$1
  entry "$2" a caerdydd $p; a=$pid
  entry "$3" b abertawe $((p + 1)); b=$pid
  entry "$4" c bangor $((p + 2)); c=$pid
  for k in 0 1 2; do ready 127.0.0.1:$((p + k)); done
  sleep 5
}
finish() { kill -TERM "$a" "$b" "$c" 2>/dev/null; wait "$a" "$b" "$c" 2>/dev/null; }
"$old/rrlab" platform -listen $store >"$t/platform.log" 2>&1 & pids+=($!)
sleep 1
"$old/rrlab" minion -platform http://$store -n 9 >"$t/minion.log" 2>&1 & pids+=($!)
sleep 1
id() { # a version 7 UUID, made now
  printf '%012x' "$(date +%s%3N)" | sed 's/\(........\)\(....\)/\1-\2/' | tr -d '\n'
  printf -- '-7%03x-8%03x-%012x\n' $((RANDOM % 4096)) $((RANDOM % 4096)) $((RANDOM * RANDOM))
}

# Data and settings of one build read by the other, both ways round.
stored() { # LABEL WRITER READER PORT
  local one two e first again doc
  e=127.0.0.1:$4
  start "$4" "$2" "$2" "$2"
  "$2/rattanring" preset set -entry $e peak >"$t/set" 2>&1 || ok "$1: preset set" "$(cat "$t/set")"
  sleep 1
  "$2/rattanring" config get -entry $e >"$t/doc.w"
  one=$(id)
  first=$("$2/rattanring" submit -entry $e -once -id "$one" -service torri 2>&1 </dev/null | grep -oE '[0-9]+ [a-z-]+' | head -1)
  finish
  start $(($4 + 3)) "$3" "$3" "$3"
  e=127.0.0.1:$(($4 + 3))
  sleep 2
  "$3/rattanring" config get -entry $e >"$t/doc.r"
  if cmp -s "$t/doc.w" "$t/doc.r"; then ok "$1: configuration document" ok; else ok "$1: configuration document" "$(diff "$t/doc.w" "$t/doc.r" | head -3)"; fi
  starts=$(grep -c . "$t/minion.log")
  again=$("$3/rattanring" submit -entry $e -once -again -id "$one" -service torri 2>&1 </dev/null | grep -oE '[0-9]+ [a-z-]+' | head -1)
  same "$1: outcome of a claimed job ($first)" "$first" "$again"
  "$3/rattanring" config apply -entry $e "$t/doc.w" >"$t/out" 2>&1
  ok "$1: document of the other build can be applied" "$(grep -q 'in force' "$t/out" && echo ok || cat "$t/out")"
  finish
}
stored "old data, new build" "$old" "$new" $((port + 10))
stored "new data, old build" "$new" "$old" $((port + 20))

# One fleet of both builds, with load from both and a planned stop of each.
mixed() { # LABEL A B C PORT
  local k
  start "$5" "$2" "$3" "$4"
  list=127.0.0.1:$5,127.0.0.1:$(($5 + 1)),127.0.0.1:$(($5 + 2))
  "$old/rrlab" load -entries $list -minions 4 -length 12s -seed 3 >"$t/load.old" 2>&1 & k=$!
  "$new/rrlab" load -entries $list -minions 4 -length 12s -seed 4 >"$t/load.new" 2>&1 & l=$!
  sleep 5
  kill -TERM "$a"; wait "$a"; same "$1: planned stop of a" 0 $?
  entry "$2" a caerdydd "$5"; a=$pid
  sleep 3
  kill -TERM "$b"; wait "$b"; same "$1: planned stop of b" 0 $?
  entry "$3" b abertawe $(($5 + 1)); b=$pid
  wait $k; same "$1: load of the old rrlab ends" 0 $?
  wait $l; same "$1: load of the new rrlab ends" 0 $?
  grep -h "tasks failed" "$t/load.old" "$t/load.new" | grep '^rattanring' | sed "s/^/  $1: /"
  ok "$1: no invariant broken" "$(grep -h 'broken invariant' "$t"/[abc].log | head -1 | grep . || echo ok)"
  finish
}
mixed "old new old" "$old" "$new" "$old" $((port + 30))
mixed "new old new" "$new" "$old" "$new" $((port + 40))
exit $bad
