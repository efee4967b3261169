#!/usr/bin/env bash
# Two plays of one planned stop. Exit status: 1 if the rule was broken in one of them, 2 if one could not run, else 0.
# TROUBLE=0: without the stop.
cd "$(dirname "$0")" || exit 2
status=0
records=()
for play in unsent waiting; do
  python3 "$play.py"
  result=$?
  if [[ $result -eq 1 || ($result -ne 0 && $status -eq 0) ]]; then status=$result; fi
  records+=("$(printf '== %s.py: exit status %d\n' "$play" "$result" && cat record.txt)")
done
printf '%s\n' "${records[@]}" > record.txt
exit "$status"
