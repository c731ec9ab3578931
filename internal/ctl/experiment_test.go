package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"
)

const smallExperiment = `{
 "name": "small", "seeds": [1, 2], "length": "2s",
 "fleet": {"engines": [{"name": "e", "count": 2, "slots": 8, "memory_tokens": 9000, "read_tokens_per_ms": 50, "step_ms": 3}]},
 "load": [{"class": "chat", "requests_per_second": 20, "sessions": 10, "shared_tokens": 1000, "own_tokens": 300, "output_tokens": 40,
  "objective": "500ms", "deadline": "5s"}],
 "policies": [{"name": "usual"}, {"name": "open", "memory_admission": false}, {"name": "patient", "waiting_share": 0.5}]
}`

// runExperiment runs the experiment command and returns its exit code and both outputs.
func runExperiment(t *testing.T, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = Run(t.Context(), append([]string{"cherryctl", "experiment"}, args...), Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestExperimentRun(t *testing.T) {
	dir := t.TempDir()
	file, out := filepath.Join(dir, "x.json"), filepath.Join(dir, "results")
	must.NoError(t, os.WriteFile(file, []byte(smallExperiment), 0o600))

	code, text, errs := runExperiment(t, "run", "--out", out, "--parallel", "2", file)
	must.Eq(t, 0, code, must.Sprint(errs))
	must.StrContains(t, errs, "small: 6 of 6 runs\n")
	must.StrContains(t, text, "small: 3 policies, 2 seeds")
	must.StrContains(t, text, "open minus usual")
	lines, err := os.ReadFile(filepath.Join(out, "small.jsonl"))
	must.NoError(t, err)
	must.Eq(t, 6, strings.Count(string(lines), "\n"))
	first, _, _ := strings.Cut(string(lines), "\n")
	must.Eq(t, "usual", gjson.Get(first, "policy").String())
	must.Positive(t, gjson.Get(first, "classes.0.in_time").Int())
	must.Eq(t, 10, gjson.Get(first, "classes.0.sizes.#").Int())
	svg, err := os.ReadFile(filepath.Join(out, "small.svg"))
	must.NoError(t, err)
	must.StrContains(t, string(svg), "</svg>")

	code, text, _ = runExperiment(t, "run", "--out", out, "--compare", "open,patient", file)
	must.Eq(t, 0, code)
	must.StrContains(t, text, "patient minus open")
}

func TestExperimentWrongInput(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "x.json")
	must.NoError(t, os.WriteFile(file, []byte(smallExperiment), 0o600))
	wrong := filepath.Join(dir, "wrong.json")
	text := strings.NewReplacer(`"open"`, `"usual"`, `"5s"`, `"5ms"`).Replace(smallExperiment)
	must.NoError(t, os.WriteFile(wrong, []byte(text), 0o600))
	for _, tc := range []struct {
		args  []string
		parts []string
	}{
		{[]string{"run", wrong}, []string{"6007 experiment_clash (/policies/1/name)", "6007 experiment_clash (/load/0/deadline)"}},
		{[]string{"run", filepath.Join(dir, "none.json")}, []string{"no such file"}},
		{[]string{"run"}, []string{"want arguments FILE"}},
		{[]string{"play", file}, []string{"experiment run FILE"}},
		{[]string{"run", "--parallel", "0", file}, []string{"--parallel"}},
		{[]string{"run", "--parallel", "x", file}, []string{"parallel"}},
		{[]string{"run", "--compare", "usual", file}, []string{"--compare"}},
		{[]string{"run", "--compare", "usual,none", file}, []string{"--compare"}},
		{[]string{"run", "--out", file, file}, []string{"not a directory"}},
	} {
		code, _, errs := runExperiment(t, tc.args...)
		must.Eq(t, 2, code, must.Sprint(tc.args, errs))
		for _, part := range tc.parts {
			must.StrContains(t, errs, part)
		}
	}
	entries, err := os.ReadDir(dir)
	must.NoError(t, err)
	must.SliceLen(t, 2, entries, must.Sprint("files were written for input that is not valid"))
}
