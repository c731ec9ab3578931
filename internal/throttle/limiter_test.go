package throttle

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/senders"
)

// TestQuotasAreWithinBound checks that two sets of senders with their trial requests stay within the
// bound, and that one set stays within the limit.
func TestQuotasAreWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, minUnlimitedRate).Draw(t, "per second")
		s := ShareOf(perSecond)
		test.LessEq(t, boundRatio*perSecond*boundWindow.Seconds()+boundSlack, float64(concurrentSets*(s.Total+trialRequests)))
		test.GreaterEq(t, sendWindow, s.Window)
		if perSecond > 1/maxWindow.Seconds() {
			test.LessEq(t, perSecond*1.0001, s.PerSecond())
		}
		count := rapid.IntRange(1, maxSenders).Draw(t, "senders")
		sum := 0
		for rank := range count {
			sum += s.ofRank(rank, count)
		}
		test.Eq(t, s.Total, sum)
		test.Zero(t, s.ofRank(-1, count))
	})
}

func limiter(node string, nodes ...string) (*Limiter, *senders.View) {
	view := &senders.View{Generation: 1, Nodes: nodes}
	return &Limiter{Node: node, View: func(string, int) senders.View { return *view }}, view
}

// TestSendsAreSpacedOut checks that a node spreads its quota over the window and does not exceed it.
func TestSendsAreSpacedOut(t *testing.T) {
	l, _ := limiter("a", "a")
	e := &Endpoint{ID: "e", PerSecond: 1}
	now := time.Now()
	var sent []time.Duration
	for at := time.Duration(0); at < 2*sendWindow; at += 10 * time.Millisecond {
		if l.Take(e, now.Add(at)) {
			sent = append(sent, at)
		}
	}
	test.Len(t, 8, sent)
	for i := range sent[1:] {
		test.GreaterEq(t, sendWindow/8, sent[i+1]-sent[i])
	}
	test.Positive(t, l.Wait(e, now.Add(2*sendWindow-10*time.Millisecond)))
	test.True(t, l.Take(&Endpoint{ID: "f", PerSecond: 1}, now), test.Sprint("another endpoint"))
}

// TestNodeOutsideViewSendsNothing checks that a node sends nothing while its member list lacks it or is
// empty, as other nodes may not count it, and that it follows changes of the list.
func TestNodeOutsideViewSendsNothing(t *testing.T) {
	l, view := limiter("a", "b")
	e := &Endpoint{ID: "e", PerSecond: 3}
	now := time.Now()
	test.Eq(t, Never, l.Wait(e, now))
	*view = senders.View{Generation: 2, Nodes: []string{"a", "b"}}
	test.Zero(t, l.Wait(e, now))
	*view = senders.View{Generation: -1}
	test.Eq(t, Never, l.Wait(e, now))
}

// TestTrialTurns checks that nodes that are not senders send trial requests one at a time, and only
// while the endpoint's last report is old.
func TestTrialTurns(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	var limiters []*Limiter
	for _, name := range names {
		l, _ := limiter(name, names...)
		limiters = append(limiters, l)
	}
	e := &Endpoint{ID: "e", PerSecond: 0, ReportAge: 3 * time.Minute}
	chosen := senders.Select(e.ID, names, 1)[0]
	var tried []time.Time
	start := time.Unix(1_700_000_000, 0)
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		for _, l := range limiters {
			if l.Node != chosen && l.Take(e, start.Add(at)) {
				tried = append(tried, start.Add(at))
			}
		}
	}
	test.GreaterEq(t, 4, len(tried))
	for i := range tried[1:] {
		test.GreaterEq(t, boundWindow, tried[i+1].Sub(tried[i]))
	}
	e.ReportAge = time.Second
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		for _, l := range limiters {
			test.False(t, l.Node != chosen && l.Allows(e, start.Add(2*time.Minute+at)))
		}
	}
}

// TestHighLimitIsUnlimited checks that all requests are allowed at a limit that no load reaches.
func TestHighLimitIsUnlimited(t *testing.T) {
	l, _ := limiter("a", "b")
	test.True(t, l.Take(&Endpoint{ID: "e", PerSecond: minUnlimitedRate}, time.Now()))
}
