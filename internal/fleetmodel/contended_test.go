package fleetmodel

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/intervals"
)

const (
	ms             = time.Millisecond
	summary        = "summary"
	question       = "question"
	classification = "classification"
)

// deployment is a deployment of docs/design/contended-engines.md.
type deployment struct {
	nodes, engines int
	config         Config // with one engine
}

// class returns a row of the page's tables. Its callers give up after the longest of 2 s, 4
// objectives and 8 of the longest pauses. The page states no number of sessions.
func class(name string, perSecond float64, shared, own, output int, objective, maxPause, deadline time.Duration, rank int) Class {
	return Class{
		Name: name, PerSecond: perSecond, SharedTokens: shared, OwnTokens: own, OutputTokens: output, Sessions: 1000,
		Objective: objective, MaxPause: maxPause, Deadline: deadline, Rank: rank, GiveUp: max(2*time.Second, 4*objective, 8*maxPause),
	}
}

// firstDeployment returns the page's first deployment. The page states neither the store, which has
// room for all shared parts here, nor the time that a run adds to a step. With these values engines
// have 7 to 10 requests, as measured there.
func firstDeployment() deployment {
	return deployment{nodes: 64, engines: 90, config: Config{
		Classes: []Class{
			class(summary, 191, 9122, 2870, 380, 800*ms, 300*ms, 10*time.Second, 2),
			class(question, 269, 650, 177, 290, 250*ms, 300*ms, 10*time.Second, 0),
			class(classification, 425, 1861, 507, 22, 300*ms, 300*ms, 2500*ms, 1),
		},
		Engines:     []EngineConfig{{Memory: 109_921, Slots: 16, PrefillPerMs: 157, StepMs: 3.55, RunStepMs: 0.03, ChunkTokens: 2048}},
		StoreTokens: 40_000_000,
	}}
}

// heaviestDay returns the first deployment on the day that the page describes.
func heaviestDay() deployment {
	d := firstDeployment()
	d.config.Classes[0].Surges = []Surge{{At: 3800 * ms, Length: 6600 * ms, Factor: 2.5}}
	const failed = 23
	for i := range failed {
		d.config.Faults = append(d.config.Faults, Fault{Engine: i * d.engines / failed, At: 2500 * ms, Length: 19 * time.Second})
	}
	return d
}

// secondDeployment returns the page's second deployment. With a store that has room for two fifths
// of the shared parts, 0.87 of the questions are in time, as measured there.
func secondDeployment() deployment {
	d := deployment{nodes: 32, engines: 60, config: Config{
		Classes: []Class{
			class(summary, 105, 9122, 2870, 384, 1000*ms, 500*ms, 15*time.Second, 2),
			class(question, 177, 650, 177, 288, 400*ms, 500*ms, 12*time.Second, 0),
			class(classification, 155, 1861, 507, 24, 500*ms, 500*ms, 3*time.Second, 1),
		},
		Engines:     []EngineConfig{{Memory: 95_724, Slots: 64, PrefillPerMs: 61.8, StepMs: 3.09, RunStepMs: 0.03, ChunkTokens: 2048, EventTokens: 8}},
		StoreTokens: 5_000_000, TokenBytes: 163_840,
		Swing: Swing{Share: 0.55, Period: 15 * time.Second}, SlowSpells: SlowSpells{Share: 0.15, Factor: 2.5, Length: 600 * ms},
	}}
	for i := range d.config.Classes {
		d.config.Classes[i].Burst = 3
	}
	return d
}

// at returns the configuration of the deployment with a number of nodes, and with engines, faults, load
// and store in proportion. Load reports are as old as those of as many real nodes.
func (d deployment) at(nodes int, length time.Duration) Config {
	c, engine := d.config, d.config.Engines[0]
	engines := int(math.Round(float64(nodes*d.engines) / float64(d.nodes)))
	share := float64(engines) / float64(d.engines)
	c.Seed, c.Length, c.Nodes, c.Domains, c.StoreTokens = 1, length, nodes, 4, int(share*float64(c.StoreTokens))
	c.Engines, c.Classes = make([]EngineConfig, engines), append([]Class(nil), c.Classes...)
	for i := range c.Engines {
		c.Engines[i] = engine
	}
	c.Faults = append([]Fault(nil), c.Faults...)
	for i := range c.Faults {
		c.Faults[i].Engine = c.Faults[i].Engine * engines / d.engines
	}
	for i := range c.Classes {
		c.Classes[i].PerSecond *= share
		c.Classes[i].Sessions = int(math.Ceil(share * float64(c.Classes[i].Sessions)))
	}
	c.StatedMemory, c.StatedSlots, c.PreemptForSlots = engine.Memory, engine.Slots, true
	peers := (nodes+c.Domains-1)/c.Domains - 1
	if intervals.FullMesh(nodes) {
		peers = nodes - 1
	}
	spacing, _ := intervals.DigestIntervals(peers)
	c.ReportAge, c.RemoteReportAge, c.EventDelay = reportSteps*spacing, 250*ms, 300*ms
	return c
}

// logResult logs the figures to compare between two versions of the code.
func logResult(t *testing.T, r *Result) {
	t.Helper()
	for _, name := range []string{summary, question, classification} {
		o := r.ForClass(name)
		whole, worst := r.DomainShares(name)
		waits := slices.Sorted(slices.Values(r.Waits[name]))
		t.Logf("%-14s %5d callers: served %.3f, largest tenth %.3f, domains %.2f, in the worst 2 s %.2f; in time %.3f; late %d, by a pause %d, refused %d, given up %d, aborted %d, retried %d; waited %s at the 99th percentile",
			name, o.Total(), o.ShareServed(), r.LargestTenth(name).ShareServed(), whole, worst, o.ShareInTime(), o.Late, o.LatePause, o.Refused, o.GivenUp, o.Aborted, o.Retries, waits[len(waits)*99/100])
	}
	fullest := 0.0 // largest ratio of the fullest engine to the mean, where the mean is over 8
	for _, s := range r.Samples {
		if s.MeanRequests > 8 {
			fullest = max(fullest, s.MaxRequests/s.MeanRequests)
		}
		t.Logf("%4s: requests mean %.1f tenth %.0f largest %.0f, full %d; pending prefill mean %.0f ninth decile %.0f",
			s.At, s.MeanRequests, s.TenthRequests, s.MaxRequests, s.Full, s.MeanPending, s.NinthPending)
	}
	t.Logf("fullest engine %.2f of the mean; preempted %d, for slots %d; refusals %v, of questions with idle engines %d",
		fullest, r.Preempted, r.PreemptedForSlots, r.RefusalReasons, r.IdleRefusals)
}

// TestContended plays the deployments of docs/design/contended-engines.md and logs the figures, to
// compare versions of the code. It verifies that every caller ends exactly once, that no engine
// exceeds its slots and that no load remains counted at any node.
func TestContended(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config Config
	}{
		{"first, 7 nodes", firstDeployment().at(7, 10*time.Second)},
		{"first, 32 nodes", firstDeployment().at(32, 8*time.Second)},
		{"first, 64 nodes", firstDeployment().at(64, 6*time.Second)},
		{"first, 295 nodes", firstDeployment().at(295, 2*time.Second)},
		{"first, heaviest day", heaviestDay().at(64, 24*time.Second)},
		{"second, 7 nodes", secondDeployment().at(7, 20*time.Second)},
		{"second, 32 nodes", secondDeployment().at(32, 20*time.Second)},
		{"second, 64 nodes", secondDeployment().at(64, 6*time.Second)},
		{"second, 295 nodes", secondDeployment().at(295, 2*time.Second)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.config.Length /= lengthDivisor
			w := New(tc.config)
			logResult(t, w.Simulate())
			verifyEnded(t, w)
		})
	}
}

// verifyEnded verifies the invariants of a simulation that has ended.
func verifyEnded(t *testing.T, w *World) {
	t.Helper()
	total := 0
	for name := range w.Result.Classes {
		total += w.Result.ForClass(name).Total()
	}
	test.Eq(t, w.Result.Callers, total)
	test.Zero(t, w.open)
	for id, e := range w.engines {
		test.LessEq(t, e.Slots, e.maxRunning, test.Sprint(id))
	}
	for _, n := range w.nodes {
		for _, m := range n.fleet.Members(service) {
			if load := [3]int{m.Load.Running(), m.Load.PendingPromptTokens(), m.Load.HeldTokens()}; load != [3]int{} {
				t.Errorf("%s counts %v at %s", n.name, load, m.ID)
			}
		}
	}
}
