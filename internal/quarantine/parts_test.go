package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

const caller = "caller"

// seedsFor returns the number of seeds for a system of the given size.
func seedsFor(size int) int {
	if size > 100 {
		return 1
	}
	return 3
}

// promptOf returns the shared parts of a prompt.
func promptOf(ids ...string) (parts []Part) {
	for depth, id := range ids {
		parts = append(parts, PartOf(caller, "model", id, depth))
	}
	return parts
}

// accuser records endings, as a node that lost a run does.
type accuser interface{ RecordEnd(e Ending) bool }

// loseRun records that a run with the given parts was lost at an endpoint before it had begun.
func loseRun(a accuser, request, endpoint string, parts []Part) {
	f := print(request)
	a.RecordEnd(Ending{Fingerprint: f, Endpoint: endpoint})
	for i := len(parts) - 1; i >= 0; i-- {
		a.RecordEnd(Ending{Fingerprint: parts[i].Key, Endpoint: endpoint, Request: &f, Account: AccountKey(caller), Depth: parts[i].Depth})
	}
}

// begin records that an endpoint has begun to answer a prompt with the given parts.
func (n *node) begin(parts []Part) {
	for _, p := range parts {
		n.ClearPart(AccountKey(caller), p)
	}
}

// TestDeadlyPartIsHeldAtAllNodes checks that a part under which endpoints end is held at every node within the
// time that is granted after the fifth ending, though each ending is seen by one node, and that no part of the
// requests beside it is held, which share their caller and the other parts.
func TestDeadlyPartIsHeldAtAllNodes(t *testing.T) {
	const (
		granted  = 5
		grace    = 3 * time.Second
		spacing  = 250 * time.Millisecond // between endings
		beside   = 4                      // sound runs that had not begun at each ending
		soundGap = 150 * time.Millisecond // between sound runs with the first part that begin, at all nodes together
	)
	for _, size := range []int{1, 6, 83, 295, 985} {
		for seed := range uint64(seedsFor(size)) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork(t, seed)
				nw.loss = 0.03
				nodes := nw.startAll(size)
				random := rand.New(rand.NewPCG(seed, uint64(size)))
				anyNode := func() *node { return nodes[random.IntN(size)] }
				stop := make(chan struct{})
				go func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(soundGap):
							nodes[i*7%size].begin(promptOf("system", fmt.Sprint("begun", i)))
						}
					}
				}()
				for i := range granted {
					endpoint := fmt.Sprint("e", i)
					loseRun(anyNode(), fmt.Sprint("guilty", i), endpoint, promptOf("system", "deadly", "turn"+fmt.Sprint(i)))
					for b := range beside {
						name := fmt.Sprint("sound", i, b)
						loseRun(anyNode(), name, endpoint, promptOf("system", name))
					}
					time.Sleep(spacing)
				}
				time.Sleep(grace - spacing)
				holding := 0
				for _, n := range nodes {
					if !n.HeldPart(promptOf("system", "deadly")).IsZero() {
						holding++
					}
					test.True(t, n.HeldPart(promptOf("system")).IsZero(), test.Sprint("the first part", size, seed))
				}
				test.Eq(t, size, holding, test.Sprint(size, seed))
				test.Eq(t, 1, nodes[0].HeldCount(), test.Sprint(size, seed))
				close(stop)
				time.Sleep(time.Second)
			})
		}
	}
}

// TestEndpointsThatEndByThemselvesHoldNoPart checks that waves of endpoints that end, with sound runs there, cause no
// hold of what the runs share, as requests with it begin elsewhere.
func TestEndpointsThatEndByThemselvesHoldNoPart(t *testing.T) {
	for _, size := range []int{6, 83} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nodes := nw.startAll(size)
			for wave := range 12 {
				for e := range 3 {
					for i := range 4 {
						name := fmt.Sprint(wave, "-", e, "-", i)
						loseRun(nodes[(wave*5+e+i)%size], name, fmt.Sprint("e", wave, e), promptOf("system", name))
					}
				}
				time.Sleep(400 * time.Millisecond)
				nodes[wave*3%size].begin(promptOf("system", fmt.Sprint("begun", wave)))
			}
			time.Sleep(2 * time.Second)
			for _, n := range nodes {
				test.Zero(t, n.HeldCount(), test.Sprint(size))
			}
		})
	}
}

// tableWithClock returns a table, and what advances its clock.
func tableWithClock() (t *Table, step func(time.Duration)) {
	now := time.Unix(1000, 0)
	return NewTable(func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

// TestRepeatedRequestAccusesItsPartsOnce checks that an innocent request which is sent from one endpoint that ends to
// the next has none of its parts held, though the request itself is.
func TestRepeatedRequestAccusesItsPartsOnce(t *testing.T) {
	table, step := tableWithClock()
	parts := promptOf("system", "session")
	for i := range 5 {
		loseRun(table, "the same", fmt.Sprint("e", i), parts)
		step(time.Second)
	}
	test.True(t, table.HeldPart(parts).IsZero())
	test.False(t, table.HeldUntil(print("the same")).IsZero())
}

// TestWrongSuspectGivesWayToThePartBefore checks that the first part is held where requests without the deeper one end
// endpoints, too, after at most two endings more.
func TestWrongSuspectGivesWayToThePartBefore(t *testing.T) {
	table, step := tableWithClock()
	end := func(i int, parts []Part) {
		loseRun(table, fmt.Sprint("r", i), fmt.Sprint("e", i), parts)
		step(time.Second)
	}
	for i := range 3 {
		end(i, promptOf("system", "session"))
	}
	test.False(t, table.HeldPart(promptOf("system", "session")).IsZero())
	test.True(t, table.HeldPart(promptOf("system")).IsZero())
	for i := 3; i < 5; i++ {
		end(i, promptOf("system", fmt.Sprint("other", i)))
	}
	test.False(t, table.HeldPart(promptOf("system")).IsZero())
}

// TestPartOfAnotherAccountIsNotHeld checks that no account can have a part of another one's prompts held.
func TestPartOfAnotherAccountIsNotHeld(t *testing.T) {
	table, step := tableWithClock()
	for i := range 5 {
		loseRun(table, fmt.Sprint("r", i), fmt.Sprint("e", i), promptOf("system"))
		step(time.Second)
	}
	test.False(t, table.HeldPart(promptOf("system")).IsZero())
	test.True(t, table.HeldPart([]Part{PartOf("another", "model", "system", 0)}).IsZero())
	test.True(t, table.HeldPart([]Part{PartOf(caller, "another", "system", 0)}).IsZero())
}

// TestHoldOfAPartEnds checks that a hold ends by itself, that a further ending prolongs it at once, and that a request
// which begins ends it.
func TestHoldOfAPartEnds(t *testing.T) {
	table, step := tableWithClock()
	parts := promptOf("system", "deadly")
	for i := range 3 {
		loseRun(table, fmt.Sprint("r", i), fmt.Sprint("e", i), parts)
		step(time.Second)
	}
	first := table.HeldPart(parts)
	test.False(t, first.IsZero())
	step(firstHold)
	test.True(t, table.HeldPart(parts).IsZero())
	loseRun(table, "r9", "e9", parts)
	test.True(t, table.HeldPart(parts).After(first.Add(firstHold)))
	test.True(t, table.ClearPart(AccountKey(caller), parts[1]))
	test.True(t, table.HeldPart(parts).IsZero())
}
