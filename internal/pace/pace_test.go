package pace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/pace"
)

const (
	drain  = 3 * time.Second
	revoke = 5 * time.Second
)

// TestRates keeps the rates of all nodes together bounded, up to the largest system.
func TestRates(t *testing.T) {
	for _, nodes := range []int{1, 7, 12, 13, 30, 85, 300, 1000} {
		registry := pace.Registry(nodes, drain)
		test.LessEq(t, drain/2, registry)
		config := pace.ConfigWait(nodes, revoke)
		test.LessEq(t, revoke/3, config)
		spacing, interval := pace.Digests(nodes)
		test.LessEq(t, interval, spacing)
		test.LessEq(t, 600, float64(nodes)/spacing.Seconds(), test.Sprint(nodes, " nodes"))
		if nodes <= 90 {
			test.LessEq(t, 2.5*12+100, float64(nodes)/registry.Seconds(), test.Sprint(nodes, " nodes"))
		}
	}
}

// TestDomainDigests bounds the messages of a node that speaks for its failure domain.
func TestDomainDigests(t *testing.T) {
	for _, nodes := range []int{10, 60, 900} {
		test.LessEq(t, 200, float64(nodes)/pace.DomainDigests(nodes).Seconds(), test.Sprint(nodes, " nodes"))
	}
}

// TestLinkShares leaves requests half of a link, whatever it carries, and takes one that is not
// known for the slowest.
func TestLinkShares(t *testing.T) {
	const second = time.Second
	for _, link := range []int{0, slowest, 2 * slowest, 20 * slowest} {
		told := pace.LongestMessage(1, link, second)
		test.LessEq(t, max(link, slowest)/2, told+pace.Answers(link), test.Sprint(link))
		test.Eq(t, second, pace.Spread(told, link))
		test.GreaterEq(t, pace.MessageBytes, told)
	}
}

// slowest is 10 Mbit/s in bytes a second.
const slowest = 1_250_000

// TestReader leaves half of the drain bound after a read and a question.
func TestReader(t *testing.T) {
	const question = 400 * time.Millisecond
	for _, bound := range []time.Duration{2 * time.Second, drain, 4 * time.Second} {
		test.LessEq(t, bound/2, pace.Reader(bound)+question)
	}
}

// TestFallback bounds the reads of a store that is away, by all nodes for three topics, and has
// none wait in a small system.
func TestFallback(t *testing.T) {
	test.Eq(t, 0, pace.Fallback(12))
	for _, nodes := range []int{13, 85, 1000} {
		test.LessEq(t, 3*45, 3*float64(nodes)/pace.Fallback(nodes).Seconds(), test.Sprint(nodes, " nodes"))
	}
}

// TestReadersFit keeps the readers that wait at a holder below the number that it
// lets wait.
func TestReadersFit(t *testing.T) {
	for _, nodes := range []int{12, 13, 85, 1000} {
		for _, readers := range []int{0, 1, 12, 100} {
			wait, pause := pace.Events(nodes, readers)
			waiting := float64(nodes) * wait.Seconds() / max(pause, wait).Seconds()
			test.LessEq(t, float64(max(readers, 1))+1e-9, waiting, test.Sprint(nodes, " nodes, ", readers, " readers"))
		}
	}
}

// TestSmallSystems keeps the rates of a system in which everybody tells everybody.
func TestSmallSystems(t *testing.T) {
	test.Eq(t, 400*time.Millisecond, pace.Registry(7, 2*time.Second))
	test.Eq(t, 900*time.Millisecond, pace.ConfigWait(7, revoke))
	test.Eq(t, 0, pace.Roster(7))
	wait, pause := pace.Events(7, 12)
	test.Eq(t, 800*time.Millisecond, wait)
	test.Eq(t, 250*time.Millisecond, pause)
	spacing, interval := pace.Digests(6)
	test.Eq(t, 15*time.Millisecond, spacing)
	test.Eq(t, 150*time.Millisecond, interval)
	test.True(t, pace.Whole(7))
	test.False(t, pace.Whole(85))
}
