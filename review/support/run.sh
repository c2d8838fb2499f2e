# Runs the case whose folder is given. Sourced by the run.sh of each case.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
name=$(basename "$1")
# TROUBLE=0 leaves the disruption out; the program of the case reads it.
export TROUBLE="${TROUBLE:-1}"
if [ ! -x "review/.build/case-$name" ] || [ ! -x target/acaciaspring_gatewayd ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 3 115 "review/.build/case-$name" "review/$name/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
