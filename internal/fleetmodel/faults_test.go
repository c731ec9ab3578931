package fleetmodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// light is a load that the engines carry with ease.
func light() Config {
	c := site(3, 4, smallMemory, 0.5)
	c.Length = 10 * time.Second
	return c
}

// TestCrash has an engine down for a while: what was there is sent elsewhere or broken off, no
// caller is forgotten, and the same seed gives the same result.
func TestCrash(t *testing.T) {
	c := light()
	calm := New(c).Play()
	c.Faults = []Fault{{Engine: 1, At: 4 * time.Second, Length: 3 * time.Second}}
	r := New(c).Play()
	t.Log(describe(r), "resent", r.Resent)
	test.Zero(t, calm.Resent)
	test.Positive(t, r.Resent)
	test.Positive(t, r.Of(long).Broken)
	for _, class := range []string{long, short} {
		test.Eq(t, calm.Of(class).Asked(), r.Of(class).Asked())
	}
	test.Eq(t, describe(r), describe(New(c).Play()))
}

// TestCrashReleasesLoad leaves nothing counted at any engine when all callers are done.
func TestCrashReleasesLoad(t *testing.T) {
	c := light()
	c.Faults = []Fault{{Engine: 0, At: 2 * time.Second, Length: time.Second}, {Engine: 2, At: 5 * time.Second, Length: 3 * time.Second}}
	w := New(c)
	w.Play()
	for id, e := range w.engines {
		load := []int{e.member.Load.Running(), e.member.Load.PendingPromptTokens(), e.member.Load.HeldTokens(), len(e.running), len(e.waiting)}
		test.Eq(t, []int{0, 0, 0, 0, 0}, load, test.Sprint(id))
	}
}

// TestAllDown refuses all while no engine answers.
func TestAllDown(t *testing.T) {
	c := light()
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, Length: time.Minute})
	}
	r := New(c).Play()
	must.Positive(t, r.Of(short).Refused)
	test.Eq(t, r.Of(short).Asked(), r.Of(short).Refused)
}

// TestSlow takes longer to first events while all engines are slow.
func TestSlow(t *testing.T) {
	c := light()
	mean := func(r *Result) time.Duration {
		var sum time.Duration
		for _, took := range r.FirstEvents[long] {
			sum += took
		}
		return sum / time.Duration(max(len(r.FirstEvents[long]), 1))
	}
	calm := mean(New(c).Play())
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, Length: time.Minute, Slow: 3})
	}
	slow := mean(New(c).Play())
	t.Log(calm, slow)
	test.Greater(t, 2*calm, slow)
}

// TestSkew draws few sessions most often, of all sizes.
func TestSkew(t *testing.T) {
	c := Class{Name: long, Sessions: 100, Skew: 1}
	w := New(light())
	draw := w.sessions(&c)
	count := make([]int, c.Sessions)
	for range 10_000 {
		count[draw()]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	// The sum of 1/k up to 100 is 5.187, so that the first one is drawn 1928 times of 10,000.
	test.InDelta(t, 1928, float64(most), 150)
}

// TestAccounts has accounts share nothing: their sessions read their account's part each once.
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
