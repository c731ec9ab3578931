package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNeedsNotices checks the load from which notices are sent, and that none are sent beyond the
// limit on messages.
func TestNeedsNotices(t *testing.T) {
	domain := func(peers, engines int) noticeLimits {
		return noticeLimits{peers: peers, engines: engines, reportAge: 112 * time.Millisecond}
	}
	for _, tc := range []struct {
		name     string
		own, all float64
		limits   noticeLimits
		want     bool
	}{
		{"16 nodes, 22 engines", 14, 221, domain(15, 22), true},
		{"just below a quarter", 3, 48, domain(15, 22), false},
		{"just above a quarter", 3.1, 50, domain(15, 22), true},
		{"other nodes place most", 0.1, 221, domain(15, 22), true},
		{"idle", 0, 0, domain(15, 22), false},
		{"no engines known", 14, 221, domain(15, 0), false},
		{"no other nodes", 14, 14, domain(0, 1), false},
		{"more than the limit", 28, 448, domain(15, 22), false},
		{"59 nodes at their limit", 14, 826, domain(58, 80), false},
		{"59 nodes below it", 5, 295, domain(58, 80), true},
	} {
		test.Eq(t, tc.want, needsNotices(tc.own, tc.all, tc.limits), test.Sprint(tc.name))
	}
}

// TestNoticeRateIsLimited checks that the nodes of a failure domain together send no more notices
// than the limit, whatever they place, and that a node that withheld one doesn't count notices as in
// use for a while.
func TestNoticeRateIsLimited(t *testing.T) {
	limits := noticeLimits{peers: 15, engines: 22, reportAge: 112 * time.Millisecond}
	const lasts = 20 * time.Second
	var pacer noticePacer
	taken, at := 0, now
	for ; at.Before(now.Add(lasts)); at = at.Add(41 * time.Millisecond) { // 24 per second
		if pacer.take(limits, at) {
			taken++
		}
	}
	received := float64(taken*limits.peers) / lasts.Seconds()
	t.Logf("%.0f notices/s from %d nodes", received, limits.peers)
	test.Between(t, 300, received, 345)
	test.Positive(t, pacer.withheldCount())
	test.False(t, pacer.inUse(limits, true, at))
	for end := at.Add(4 * time.Second); at.Before(end); at = at.Add(70 * time.Millisecond) {
		pacer.take(limits, at)
	}
	test.True(t, pacer.inUse(limits, true, at))
}

// TestNoticesInUse checks that a node that announces its placements counts on the others to do so only
// if about as many notices arrive, and a collector in any case.
func TestNoticesInUse(t *testing.T) {
	limits := noticeLimits{peers: 15, engines: 22, reportAge: 112 * time.Millisecond}
	for _, tc := range []struct {
		announcing int // peers that announce their placements
		want       bool
	}{{15, true}, {8, true}, {2, false}, {0, false}} {
		var pacer noticePacer
		at := now
		for ; at.Before(now.Add(4 * time.Second)); at = at.Add(70 * time.Millisecond) {
			test.True(t, pacer.take(limits, at) || at.Before(now.Add(time.Second)))
			for range tc.announcing {
				pacer.recordAnnounced(at)
			}
		}
		test.Eq(t, tc.want, pacer.inUse(limits, false, at), test.Sprint(tc.announcing))
		test.True(t, pacer.inUse(limits, true, at))
	}
}
