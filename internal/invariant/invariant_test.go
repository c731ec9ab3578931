package invariant

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
)

// validHistory returns a history that satisfies every invariant.
func validHistory() *History {
	begin := time.Unix(1000, 0)
	return &History{
		Answers: []Answer{
			{Name: "first", Account: "a", Prompt: "heat4711", Want: " hot ore", Text: " hot ore", Offset: 2, Whole: true, Engines: 1},
			{Name: "return", Account: "a", Prompt: "heat4711 hot oremore", Want: " dry", Text: " dry", Offset: 1, Whole: true, Cached: 4, Engines: 1},
			{Name: "refused", Account: "b", Prompt: "heat4711", Want: " ice", Offset: -1, Code: result.Shed, RunState: result.NotRun},
			{Name: "killed", Account: "b", Prompt: "heat", Want: " ice ore", Text: " ice", Offset: 1, EntryGone: true, Engines: 1},
		},
		Calls: []Call{
			{Name: "c1", BodyID: "charge", RunState: result.NotRun},
			{Name: "c2", BodyID: "charge"},
		},
		Executions: []Execution{{BodyID: "charge", Count: 1}, {BodyID: "look-up", Idempotent: true, Count: 3}},
		Accepted:   []Accepted{{Object: "model/m", Revision: 4}},
		Readings: []Reading{
			{Process: "n1", Applied: 3, Revisions: map[string]int64{"model/m": 2}},
			{Process: "n2", Applied: 1, Revisions: map[string]int64{"model/m": 1}},
			{Process: "n1", Applied: 4, Revisions: map[string]int64{"model/m": 4}},
		},
		Leaves: []Leave{{Endpoint: "engine-1", At: begin}},
		Starts: []RunStart{{Endpoint: "engine-1", At: begin.Add(2 * time.Second)}, {Endpoint: "engine-2", At: begin.Add(time.Hour)}},
	}
}

func TestValidHistoryPasses(t *testing.T) { must.NoError(t, Check(validHistory())) }

// TestViolationsAreReported verifies that each single violation is reported with its description.
func TestViolationsAreReported(t *testing.T) {
	violations := map[string]struct {
		violate func(*History)
		want    string
	}{
		"token lost":        {func(h *History) { h.Answers[0].Text = " ore" }, "answer first"},
		"token doubled":     {func(h *History) { h.Answers[0].Text = " hot hot ore" }, "answer first"},
		"answer of another": {func(h *History) { h.Answers[0].Text = h.Answers[1].Text }, "answer first"},
		"part as whole":     {func(h *History) { h.Answers[0].Text, h.Answers[0].Offset = " hot", 1 }, "marked complete"},
		"wrong event id":    {func(h *History) { h.Answers[0].Offset = 3 }, "states 3 tokens"},
		"cut without error": {func(h *History) { h.Answers[3].EntryGone = false }, "without a numbered error"},
		"whole with error":  {func(h *History) { h.Answers[0].Code = result.Internal }, "complete, but with error"},
		"context of another account": {func(h *History) {
			h.Answers[2].Cached, h.Answers[2].RunState, h.Answers[2].Engines = 2, result.MayHaveRun, 1
		}, "account b left at most 1"},
		"not_run, but begun":      {func(h *History) { h.Answers[2].Engines = 1 }, "not_run, but 1"},
		"executed twice":          {func(h *History) { h.Executions[0].Count = 2 }, "executed 2 times"},
		"executed, never allowed": {func(h *History) { h.Calls[1].RunState = result.NotRun }, "answered not_run"},
		"applied went back":       {func(h *History) { h.Readings[2].Applied = 2 }, "applied 2 after 3"},
		"object went back":        {func(h *History) { h.Readings[2].Revisions["model/m"] = 1 }, "revision 1 after 2"},
		"accepted is gone":        {func(h *History) { h.Readings[2].Revisions["model/m"] = 3 }, "4 was accepted"},
		"accepted was removed":    {func(h *History) { delete(h.Readings[2].Revisions, "model/m") }, "4 was accepted"},
		"run after leaving":       {func(h *History) { h.Starts[0].At = h.Leaves[0].At.Add(3100 * time.Millisecond) }, "3.1s after it was published as leaving"},
		"wrong block":             {func(h *History) { h.WrongBlocks = 1 }, "another block's bytes"},
	}
	for name, b := range violations {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			b.violate(h)
			must.ErrorContains(t, Check(h), b.want)
		})
	}
}
