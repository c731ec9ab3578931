package intervals_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/intervals"
)

const (
	drain  = 3 * time.Second
	revoke = 5 * time.Second
)

// TestRateLimits checks the limits on the rates of all nodes together, up to the largest system.
func TestRateLimits(t *testing.T) {
	for _, nodes := range []int{1, 7, 12, 13, 30, 85, 300, 1000} {
		registry := intervals.RegistryInterval(nodes, drain)
		test.LessEq(t, drain/2, registry)
		config := intervals.ConfigWait(nodes, revoke)
		test.LessEq(t, revoke/3, config)
		spacing, interval := intervals.DigestIntervals(nodes)
		test.LessEq(t, interval, spacing)
		test.LessEq(t, 600, float64(nodes)/spacing.Seconds(), test.Sprint(nodes, " nodes"))
		if nodes <= 90 {
			test.LessEq(t, 2.5*12+100, float64(nodes)/registry.Seconds(), test.Sprint(nodes, " nodes"))
		}
	}
}

// TestDomainDigestInterval checks the limit on the messages of a node that reports for its failure
// domain.
func TestDomainDigestInterval(t *testing.T) {
	for _, nodes := range []int{10, 60, 900} {
		test.LessEq(t, 200, float64(nodes)/intervals.DomainDigestInterval(nodes).Seconds(), test.Sprint(nodes, " nodes"))
	}
}

// TestLinkShares checks that messages and responses leave half of a link for requests at any rate,
// and that an unknown link counts as the minLinkRate.
func TestLinkShares(t *testing.T) {
	const second = time.Second
	for _, link := range []int{0, minLinkRate, 2 * minLinkRate, 20 * minLinkRate} {
		longest := intervals.MaxMessageSize(1, link, second)
		test.LessEq(t, max(link, minLinkRate)/2, longest+intervals.AnswerRate(link), test.Sprint(link))
		test.Eq(t, second, intervals.SendPause(longest, link))
		test.GreaterEq(t, intervals.MinMessageRate, longest)
	}
}

// minLinkRate is 10 Mbit/s in bytes per second.
const minLinkRate = 1_250_000

// TestReaderInterval checks that a read and a poll take at most half of the drain bound.
func TestReaderInterval(t *testing.T) {
	const poll = 400 * time.Millisecond
	for _, bound := range []time.Duration{2 * time.Second, drain, 4 * time.Second} {
		test.LessEq(t, bound/2, intervals.ReaderInterval(bound)+poll)
	}
}

// TestFallbackInterval checks the limit on reads of a failing store by all nodes for three topics,
// and that nodes of a small system do not wait.
func TestFallbackInterval(t *testing.T) {
	test.Eq(t, 0, intervals.FallbackInterval(12))
	for _, nodes := range []int{13, 85, 1000} {
		test.LessEq(t, 3*45, 3*float64(nodes)/intervals.FallbackInterval(nodes).Seconds(), test.Sprint(nodes, " nodes"))
	}
}

// TestEventReaderLimit checks that the number of readers that wait at an engine or store does not
// exceed its limit.
func TestEventReaderLimit(t *testing.T) {
	for _, nodes := range []int{12, 13, 85, 1000} {
		for _, readers := range []int{0, 1, 12, 100} {
			wait, readInterval := intervals.EventIntervals(nodes, readers)
			waiting := float64(nodes) * wait.Seconds() / max(readInterval, wait).Seconds()
			test.LessEq(t, float64(max(readers, 1))+1e-9, waiting, test.Sprint(nodes, " nodes, ", readers, " readers"))
		}
	}
}

// TestSmallSystem checks the rates of a system in which all nodes send all reports to one another.
func TestSmallSystem(t *testing.T) {
	test.Eq(t, 400*time.Millisecond, intervals.RegistryInterval(7, 2*time.Second))
	test.Eq(t, 900*time.Millisecond, intervals.ConfigWait(7, revoke))
	test.Eq(t, 0, intervals.RosterInterval(7))
	wait, readInterval := intervals.EventIntervals(7, 12)
	test.Eq(t, 800*time.Millisecond, wait)
	test.Eq(t, 250*time.Millisecond, readInterval)
	spacing, interval := intervals.DigestIntervals(6)
	test.Eq(t, 15*time.Millisecond, spacing)
	test.Eq(t, 150*time.Millisecond, interval)
	test.True(t, intervals.FullMesh(7))
	test.False(t, intervals.FullMesh(85))
}

// TestNoticeRate checks that the notices of all nodes of a failure domain stay within the limit on
// received messages and within half of the link's part for messages.
func TestNoticeRate(t *testing.T) {
	const bytes = 240
	for _, peers := range []int{1, 7, 15, 58, 200, 999} {
		perSecond := intervals.NoticeRate(peers, 0, bytes)
		test.Positive(t, perSecond)
		test.LessEq(t, 320.0001, perSecond*float64(peers))
		test.LessEq(t, intervals.MinMessageRate/2+1, perSecond*float64(peers)*bytes)
	}
	test.Eq(t, 0, intervals.NoticeRate(0, 0, bytes))
}
