package throttle

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/senders"
)

// TestSharesAreWithinTheBound has two sets of senders and their trials keep to the bound, and one set to the
// limit.
func TestSharesAreWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, mostPerSecond).Draw(t, "per second")
		s := ShareOf(perSecond)
		test.LessEq(t, boundRatio*perSecond*boundWindow.Seconds()+boundSlack, float64(views*(s.Total+trials)))
		test.GreaterEq(t, window, s.Window)
		if perSecond > 1/longestWindow.Seconds() {
			test.LessEq(t, perSecond*1.0001, s.PerSecond())
		}
		most := rapid.IntRange(1, mostSenders).Draw(t, "senders")
		sum := 0
		for rank := range most {
			sum += s.of(rank, most)
		}
		test.Eq(t, s.Total, sum)
		test.Zero(t, s.of(-1, most))
	})
}

func limiter(node string, nodes ...string) (*Limiter, *senders.View) {
	view := &senders.View{Generation: 1, Nodes: nodes}
	return &Limiter{Node: node, View: func(string, int) senders.View { return *view }}, view
}

// TestSendsAreApart has a node send its share over a window, not at once, and no more.
func TestSendsAreApart(t *testing.T) {
	l, _ := limiter("a", "a")
	e := &Endpoint{ID: "e", PerSecond: 1}
	now := time.Now()
	var sent []time.Duration
	for at := time.Duration(0); at < 2*window; at += 10 * time.Millisecond {
		if l.Take(e, now.Add(at)) {
			sent = append(sent, at)
		}
	}
	test.Len(t, 8, sent)
	for i := range sent[1:] {
		test.GreaterEq(t, window/8, sent[i+1]-sent[i])
	}
	test.Positive(t, l.Wait(e, now.Add(2*window-10*time.Millisecond)))
	test.True(t, l.Take(&Endpoint{ID: "f", PerSecond: 1}, now), test.Sprint("another endpoint"))
}

// TestNotCounted sends nothing where the others may not count this node, and follows its view.
func TestNotCounted(t *testing.T) {
	l, view := limiter("a", "b")
	e := &Endpoint{ID: "e", PerSecond: 3}
	now := time.Now()
	test.Eq(t, Never, l.Wait(e, now))
	*view = senders.View{Generation: 2, Nodes: []string{"a", "b"}}
	test.Zero(t, l.Wait(e, now))
	*view = senders.View{Generation: -1}
	test.Eq(t, Never, l.Wait(e, now))
}

// TestTurns has nodes that are no senders try an endpoint one at a time, where its word is old alone.
func TestTurns(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	var limiters []*Limiter
	for _, name := range names {
		l, _ := limiter(name, names...)
		limiters = append(limiters, l)
	}
	e := &Endpoint{ID: "e", PerSecond: 0, Age: 3 * time.Minute}
	chosen := senders.Choose(e.ID, names, 1)[0]
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
	e.Age = time.Second
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		for _, l := range limiters {
			test.False(t, l.Node != chosen && l.Allows(e, start.Add(2*time.Minute+at)))
		}
	}
}

// TestNoLimitAtAll lets all through where a limit bounds nothing.
func TestNoLimitAtAll(t *testing.T) {
	l, _ := limiter("a", "b")
	test.True(t, l.Take(&Endpoint{ID: "e", PerSecond: mostPerSecond}, time.Now()))
}
