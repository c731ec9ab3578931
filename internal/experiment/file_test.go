package experiment

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/settings"
)

// fullExperiment sets every field.
const fullExperiment = `{
 "name": "trial", "about": "all fields", "seeds": [1, 2], "length": "3s",
 "fleet": {
  "engines": [
   {"name": "a", "count": 2, "slots": 8, "memory_tokens": 40000, "read_tokens_per_ms": 50, "step_ms": 3, "request_step_ms": 0.2, "chunk_tokens": 1024},
   {"name": "b", "count": 1, "slots": 8, "memory_tokens": 30000, "read_tokens_per_ms": 25, "step_ms": 6}
  ],
  "store_tokens": 100000, "events_late": "200ms", "stated_memory_tokens": 20000
 },
 "load": [{"class": "c", "requests_per_second": 20, "burst": 2, "rank": 1, "sessions": 10, "session_skew": 0.5, "accounts": 5, "account_tokens": 100,
  "shared_tokens": 1000, "own_tokens": 300, "output_tokens": 20, "objective": "500ms", "deadline": "5s"}],
 "faults": [{"kind": "crash", "engine": "a", "number": 1, "at": "1s", "for": "500ms"},
  {"kind": "slow", "engine": "b", "number": 0, "at": "1s", "for": "1s", "factor": 2},
  {"kind": "crash", "engine": "a", "number": 1, "at": "2s", "for": "500ms"}, {"kind": "crash", "engine": "a", "number": 1, "at": "100ms", "for": "200ms"}],
 "policies": [{"name": "p"}, {"name": "r", "stated_memory_tokens": 35000}, {"name": "q", "memory_admission": false, "store": false, "waiting_share": 0.3, "late_share": 0.5, "reserve_share": 0.1}]
}`

func TestParse(t *testing.T) {
	f, err := Parse([]byte(fullExperiment))
	must.NoError(t, err)
	p, q := f.config(&f.Policies[0], 7), f.config(&f.Policies[2], 8)
	must.Eq(t, 3, len(p.Engines))
	must.Eq(t, 2048, p.Engines[2].ChunkTokens)
	must.Eq(t, 0.12, p.Engines[2].RunStepMs)
	must.Eq(t, 1, p.Faults[0].Engine)
	must.Eq(t, 2, p.Faults[1].Engine)
	must.Eq(t, 200*time.Millisecond, p.EventDelay)
	must.Eq(t, []int{20_000, 100_000, 0, 0}, []int{p.StatedMemory, p.StoreTokens, q.StatedMemory, q.StoreTokens})
	must.Eq(t, 35_000, f.config(&f.Policies[1], 7).StatedMemory)
	must.Eq(t, placer.DefaultTuning(), *p.Tuning)
	must.Nil(t, p.MaxWaitShare)
	must.Eq(t, placer.Tuning{QueueShare: 0.5, ReserveShare: 0.1}, *q.Tuning)
	must.Eq(t, 0.3, *q.MaxWaitShare)
	f, err = Parse([]byte(strings.Replace(fullExperiment, `, "stated_memory_tokens": 20000`, "", 1)))
	must.NoError(t, err)
	must.Eq(t, 30_000, f.Fleet.StatedMemoryTokens)
}

func TestParseNamesCodeAndPathOfEachProblem(t *testing.T) {
	for _, c := range []struct {
		name, old, new, path string
		code                 result.Code
	}{
		{"not JSON", `"name": "trial"`, `name`, "/", result.SettingInvalid},
		{"unknown field", `"store_tokens"`, `"stores"`, "/fleet", result.SettingUnknown},
		{"missing field", `"length": "3s",`, ``, "/", result.SettingMissing},
		{"name", `"trial"`, `"a/b"`, "/name", result.SettingInvalid},
		{"one seed", `[1, 2]`, `[1]`, "/seeds", result.SettingInvalid},
		{"same seeds", `[1, 2]`, `[1, 1]`, "/seeds", result.SettingInvalid},
		{"unit", `"3s"`, `"3"`, "/length", result.SettingUnit},
		{"type of an engine's field", `"slots": 8`, `"slots": "8"`, "/fleet/engines/0/slots", result.SettingType},
		{"no speed", `"read_tokens_per_ms": 50`, `"read_tokens_per_ms": 0`, "/fleet/engines/0/read_tokens_per_ms", result.SettingInvalid},
		{"missing in a class", `"output_tokens": 20, `, ``, "/load/0", result.SettingMissing},
		{"rank", `"rank": 1`, `"rank": 3`, "/load/0/rank", result.SettingInvalid},
		{"negative skew", `"session_skew": 0.5`, `"session_skew": -1`, "/load/0/session_skew", result.SettingInvalid},
		{"kind of fault", `"crash"`, `"flood"`, "/faults/0/kind", result.SettingInvalid},
		{"one policy", `{"name": "p"}, {"name": "r", "stated_memory_tokens": 35000}, `, ``, "/policies", result.SettingInvalid},
		{"share", `"waiting_share": 0.3`, `"waiting_share": 1.3`, "/policies/2/waiting_share", result.SettingInvalid},
		{"reserve", `"reserve_share": 0.1`, `"reserve_share": 0.7`, "/policies/2/reserve_share", result.SettingInvalid},
		{"same policy", `"q"`, `"p"`, "/policies/2/name", result.ExperimentConflict},
		{"memory that isn't used", `"memory_admission": false`, `"memory_admission": false, "stated_memory_tokens": 1000`, "/policies/2/stated_memory_tokens", result.ExperimentConflict},
		{"same engine", `"engines": [`, `"engines": [{"name": "b", "count": 1, "slots": 8, "memory_tokens": 30000, "read_tokens_per_ms": 25, "step_ms": 6},`, "/fleet/engines/2/name", result.ExperimentConflict},
		{"too many engines", `"count": 1`, `"count": 255`, "/fleet/engines", result.ExperimentConflict},
		{"too many requests", `"3s"`, `"60000s"`, "/length", result.ExperimentConflict},
		{"deadline", `"5s"`, `"100ms"`, "/load/0/deadline", result.ExperimentConflict},
		{"accounts", `"accounts": 5`, `"accounts": 11`, "/load/0/accounts", result.ExperimentConflict},
		{"no accounts", `"accounts": 5, `, ``, "/load/0/account_tokens", result.ExperimentConflict},
		{"fault's engine", `"engine": "b"`, `"engine": "d"`, "/faults/1/engine", result.ExperimentConflict},
		{"fault's number", `"number": 1`, `"number": 2`, "/faults/0/number", result.ExperimentConflict},
		{"fault's time", `"at": "1s", "for": "1s"`, `"at": "4s", "for": "1s"`, "/faults/1/at", result.ExperimentConflict},
		{"fault's factor", `, "factor": 2`, ``, "/faults/1/factor", result.ExperimentConflict},
		{"fault within another", `"faults": [`, `"faults": [{"kind": "crash", "engine": "a", "number": 1, "at": "900ms", "for": "200ms"}, `, "/faults/1/at", result.ExperimentConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(fullExperiment, c.old, c.new, 1)
			must.NotEq(t, fullExperiment, text)
			_, err := Parse([]byte(text))
			var problems settings.Problems
			must.True(t, errors.As(err, &problems), must.Sprint(err))
			must.SliceLen(t, 1, problems, must.Sprint(problems))
			must.Eq(t, c.path, problems[0].Path, must.Sprint(problems))
			must.Eq(t, c.code, problems[0].Code, must.Sprint(problems))
		})
	}
}
