# The checks of .ci/run. Each returns an error, or ends the shell, where it fails.

# step NAME COMMAND...: runs a check and prints its time.
step() {
  local name=$1 begun=$SECONDS
  shift
  echo "== $name"
  "$@"
  echo "== $name: ok, $((SECONDS - begun)) s"
}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

check_build() {
  go build work
  mkdir -p "$work/bin"
  go build -o "$work/bin/" ./cmd/cherryward ./cmd/cherryctl
}

# check_readme keeps the README's test command the one that is run here.
check_readme() {
  grep -qF "go test ${packages[*]}" README.md || fail "README.md lacks: go test ${packages[*]}"
}

check_gofmt() {
  local wrong
  wrong=$(git ls-files -z '*.go' | xargs -0 gofmt -l)
  [[ -z $wrong ]] || fail "not formatted: $wrong"
}

# build_tools builds the tools that tools/go.mod pins. It is no part of the
# workspace, whose modules need none of what the tools need.
build_tools() {
  mkdir -p "$work/bin"
  (cd tools && GOWORK=off go build -o "$work/bin/" tool)
}

check_staticcheck() {
  local module
  for module in "${modules[@]}"; do
    (cd "$module" && staticcheck ./...)
  done
}

check_generated() {
  (cd api && buf lint && buf generate --output "$work/generated")
  diff -r api/gen "$work/generated/gen" || fail "run: cd api && buf generate"
}

# check_paths keeps paths of somebody's machine out of the repository.
check_paths() {
  if git grep -nIE '(^|[^[:alnum:]_./])/(home|root|work|Users|tmp)/[[:alnum:]]' -- . ':!.ci/checks.bash'; then
    fail "these lines name paths of a machine"
  fi
}

# check_names keeps the platform's names in its adapter: no other code but the
# stand-ins and tests may hold its headers, paths, topics and fields.
check_names() {
  local names='X-(Attempt-Id|Deadline-Ms|Server-Seal|Not-Executed|Expect-Instance|Expect-Version|Instance-Id|Weight-Versions|Tenant|Model|Token-Usage|Prefix-Hash|Cache-Salt|Request-Priority|Kv-[A-Z][a-z]+|Hold|Pin-Ms|Length-Hint)'
  names+='|/-/(log|kv|order|report|hold)[a-z-]*|keyed\.(op|servers|status)'
  names+='|([^/]path-prefix|kv-token-bytes|route-kind|target-latency-ms|weighted-upstreams|fencing-token|boot-epoch|switch-mode|heartbeat-ms)'
  if git grep -nE "$names" -- '*.go' ':!platform' ':!standin' ':!*_test.go'; then
    fail "these lines hold the platform's names outside platform/"
  fi
}

# known_tests prints the tests of KNOWN-RED.txt, whose lines are
# "package.Test, cause, issue".
known_tests() {
  [[ -f $known_red ]] || return 0
  grep -v '^[[:space:]]*\(#\|$\)' "$known_red" | cut -d, -f1 || true
}

check_known_red() {
  [[ -f $known_red ]] || { echo "none"; return 0; }
  cat "$known_red"
  local count
  count=$(known_tests | wc -l)
  ((count <= 3)) || fail "$known_red lists $count tests; three at most"
  if grep -v '^[[:space:]]*\(#\|$\)' "$known_red" | grep -vE '^[^ ,]+\.Test[^ ,]*, *[^,]+,.+'; then
    fail "want lines of: package.Test, cause, issue"
  fi
}

# failures reads the output of "go test" and prints package.Test for each failed
# test, and what else made a package fail, which no list can excuse.
failures() {
  awk '
    /^--- FAIL: /                  { tests[++n] = $3 }
    /^panic: |^fatal error: /      { extra = "panic" }
    /^WARNING: DATA RACE/          { extra = "data-race" }
    /^FAIL\t.*\[.*failed\]$/       { print $2 ":build-or-setup"; reset(); next }
    /^FAIL\t/                      {
      for (i = 1; i <= n; i++) print $2 "." tests[i]
      if (extra != "" || n == 0) print $2 ":" (extra == "" ? "exit" : extra)
      reset()
    }
    /^ok  \t/                      { reset() }
    function reset() { n = 0; extra = "" }
  '
}

# test_limit ends tests that hang. Under the race detector the policy benchmark had taken
# 9.5 minutes of processor time, beside other load, and not ended: "go test" ends a
# package by itself after 10 minutes.
readonly test_limit=30m

# check_tests runs the tests anew, prints their results, and passes over the
# tests of KNOWN-RED.txt alone.
check_tests() {
  local out="$work/test.out" status=0 red
  GOFLAGS="${GOFLAGS:-} -count=1" go test -timeout "$test_limit" "$@" 2>&1 | grep -v '\[no test files\]$' | tee "$out" || status=1
  ((status == 0)) && return 0
  failures <"$out" | sort -u >"$work/failed"
  known_tests | sort -u >"$work/known"
  red=$(comm -23 "$work/failed" "$work/known")
  [[ -s $work/failed && -z $red ]] || fail "go test: ${red:-no result}"
  echo "passed over, as $known_red lists them:"
  cat "$work/failed"
}

# check_crowds runs the tests in which crowds of callers misbehave, one at a time and apart from other load, as they check
# the memory and the descriptors of a process.
check_crowds() {
  go vet -tags crowd ./cmd/cherryward
  staticcheck -tags crowd ./cmd/cherryward
  check_tests -tags crowd -p 1 -parallel 1 -run '^Test.*Crowd' ./cmd/cherryward
}

# race_crashes are the tests in which the race detector itself crashes on arm64, in some runs. There they run
# without it alone, in check_tests.
readonly race_crashes='^TestEnginesSlowToReportAreClosedOnceAndLoaded$'

# check_race runs the tests under the race detector.
check_race() {
  local flags=(-race)
  if [[ $(go env GOARCH) == arm64 ]]; then
    echo "on arm64 without the race detector: $race_crashes"
    flags+=(-skip "$race_crashes")
  fi
  check_tests "${flags[@]}" "$@"
}

# check_clean finds files that the checks changed or left behind.
check_clean() {
  git status --porcelain | diff "$work/status" - || fail "the checks changed or left these files"
}
