package fleetmodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// lightLoad returns a fleet and a load well below its capacity.
func lightLoad() Config {
	c := testConfig(3, 4, smallMemory, 0.5)
	c.Length = 10 * time.Second
	return c
}

// TestCrash verifies that the requests at a crashed engine are sent to another engine or aborted,
// that every caller is counted, and that the same seed gives the same result.
func TestCrash(t *testing.T) {
	c := lightLoad()
	healthy := New(c).Simulate()
	c.Faults = []Fault{{Engine: 1, At: 4 * time.Second, Length: 3 * time.Second}}
	r := New(c).Simulate()
	t.Log(describe(r), "resent", r.FailedOver)
	test.Zero(t, healthy.FailedOver)
	test.Positive(t, r.FailedOver)
	test.Positive(t, r.ForClass(long).Aborted)
	for _, class := range []string{long, short} {
		test.Eq(t, healthy.ForClass(class).Total(), r.ForClass(class).Total())
	}
	test.Eq(t, describe(r), describe(New(c).Simulate()))
}

// TestCrashReleasesLoad verifies that no load remains counted at any engine after all requests
// have ended.
func TestCrashReleasesLoad(t *testing.T) {
	c := lightLoad()
	c.Faults = []Fault{{Engine: 0, At: 2 * time.Second, Length: time.Second}, {Engine: 2, At: 5 * time.Second, Length: 3 * time.Second}}
	w := New(c)
	w.Simulate()
	for id, e := range w.engines {
		load := []int{e.member.Load.Running(), e.member.Load.PendingPromptTokens(), e.member.Load.HeldTokens(), len(e.running), len(e.waiting)}
		test.Eq(t, []int{0, 0, 0, 0, 0}, load, test.Sprint(id))
	}
}

// TestAllDown verifies that all requests are refused while all engines are down.
func TestAllDown(t *testing.T) {
	c := lightLoad()
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, Length: time.Minute})
	}
	r := New(c).Simulate()
	must.Positive(t, r.ForClass(short).Refused)
	test.Eq(t, r.ForClass(short).Total(), r.ForClass(short).Refused)
}

// TestSlowEngines verifies that the time to the first event grows while all engines are slow.
func TestSlowEngines(t *testing.T) {
	c := lightLoad()
	mean := func(r *Result) time.Duration {
		var sum time.Duration
		for _, took := range r.FirstEvents[long] {
			sum += took
		}
		return sum / time.Duration(max(len(r.FirstEvents[long]), 1))
	}
	normal := mean(New(c).Simulate())
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, Length: time.Minute, SlowFactor: 3})
	}
	slow := mean(New(c).Simulate())
	t.Log(normal, slow)
	test.Greater(t, 2*normal, slow)
}

// TestSkew verifies that the most frequent session is drawn as often as the Zipf distribution
// says.
func TestSkew(t *testing.T) {
	c := Class{Name: long, Sessions: 100, Skew: 1}
	w := New(lightLoad())
	draw := w.sessions(&c)
	count := make([]int, c.Sessions)
	for range 10_000 {
		count[draw()]++
	}
	maxCount := 0
	for _, n := range count {
		maxCount = max(maxCount, n)
	}
	// The sum of 1/k for k up to 100 is 5.187, so the most frequent
	// session is expected to be drawn 1928 times of 10,000.
	test.InDelta(t, 1928, float64(maxCount), 150)
}

// TestAccounts verifies that the sessions of an account share its part of the prompt, and that
// accounts are isolated from each other.
func TestAccounts(t *testing.T) {
	c := Class{Name: long, Accounts: 3, AccountTokens: 50}
	first, shared := c.account(4)
	again, _ := c.account(7)
	other, _ := c.account(5)
	test.Eq(t, first, again)
	test.NotEq(t, first.Name, other.Name)
	test.True(t, first.Isolated)
	must.SliceLen(t, 1, shared)
	test.Eq(t, 50, shared[0].Tokens)
}
