#!/usr/bin/env bash
# Plays the regression: the standard days of the large and the grown sites, and the project's own days.
#
#   tools/regress.sh KIT [-j JOBS] [-s PART] [-q]
#
#   KIT      the folder of the users' kit
#   -j JOBS  days side by side, 3 unless given
#   -s PART  only sites whose file name has this part, for example grown or large
#   -q       only the standard days
#
# Run it in the repository. It prints one line a day (site, day, score, worth, broken rules) and exits
# with 1 when a rule is broken, a gate failed or a day could not be played. The output of the bench goes
# to a folder that is named first.
set -uo pipefail
usage() { sed -n '2,13s/^# \{0,1\}//p' "$0"; exit 2; }
[ $# -ge 1 ] && [ -d "$1" ] || usage
kit=$1 jobs=3 part='' quick=''
shift
while getopts j:s:q opt; do
  case $opt in
  j) jobs=$OPTARG ;;
  s) part=$OPTARG ;;
  q) quick=1 ;;
  *) usage ;;
  esac
done
# The newest bench plays all site files; its folder names its version.
bench=$(find "$kit" -type f -path '*bench-*' -name fleetbench | sort | tail -n 1)
[ -x "$bench" ] || { echo "no bench found in $kit" >&2; exit 2; }
out=$(mktemp -d)
echo "output: $out"
bad=0

# report SITE FILE prints a line for each day of a bench output and notes what failed.
report() {
  awk -v site="$1" '
    $2 ~ /^[0-9]+\/[0-9]+$/ {
      broken = index($0, "BROKEN:") ? substr($0, index($0, "BROKEN:")) : "no rule broken"
      printf "%-22s %-24s score %s worth %s  %s\n", site, $1, $3, $4, broken
      n++
      if (broken ~ /^BROKEN/) bad = 1
    }
    /GATE failed|^ *fault|given up/ { print site ": " $0; bad = 1 }
    END { if (n == 0) { print site ": no day was played"; bad = 1 }; exit bad }' "$2" || bad=1
}

for file in "$kit"/more/system/large/*.toml "$kit"/more/system/grown/*.toml; do
  site=$(basename "$file" .toml)
  case $site in *"$part"*) ;; *) continue ;; esac
  "$bench" score "$file" --jobs "$jobs" --why "regression: standard days" >"$out/$site.txt" 2>&1 || bad=1
  report "$site" "$out/$site.txt"
  [ -z "$quick" ] || continue
  for day in deploy/days/*.toml; do
    name=$(basename "$day" .toml)
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
    "$bench" run "$file" "$day" --jobs 1 --why "regression: own day" >"$out/$site-$name.txt" 2>&1 &
  done
  wait
  for day in deploy/days/*.toml; do
    report "$site" "$out/$site-$(basename "$day" .toml).txt"
  done
done
exit "$bad"
