package brittle_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/brittle"
)

const lifetime = 3 * time.Second // of a loan

func claim(lease, slots, refusals int) *brittle.Claim {
	return &brittle.Claim{Lease: fmt.Sprint(lease), Endpoint: "e", Slots: slots, Refusals: refusals}
}

// TestLoansNeverExceedSlots checks that a lender never lends more slots than an endpoint has.
func TestLoansNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l brittle.Lender
		now := time.Unix(1000, 0)
		slots, refusals := rapid.IntRange(1, 40).Draw(t, "slots"), rapid.IntRange(0, 50).Draw(t, "refusals")
		held := map[int]bool{}
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			running := rapid.IntRange(0, slots).Draw(t, "running")
			if granted, wait := l.Lend(claim(i, slots, refusals), brittle.Load{Running: running}, now); granted {
				held[i] = true
				if len(held) > slots {
					t.Fatalf("%d of %d slots lent while %d run", len(held), slots, running)
				}
			} else if wait <= 0 {
				t.Fatal("denied without a time")
			}
			for lease := range held {
				if rapid.IntRange(0, 5).Draw(t, "ends") == 0 {
					l.Return("e", 0, fmt.Sprint(lease), false, now)
					delete(held, lease)
				}
			}
		}
	})
}

// TestKnownRequestsTakeSlots checks that what runs without a loan takes slots, where runs last longer than reports
// take.
func TestKnownRequestsTakeSlots(t *testing.T) {
	var l brittle.Lender
	now := time.Unix(1000, 0)
	granted, _ := l.Lend(claim(1, 4, 100), brittle.Load{Running: 4}, now)
	test.False(t, granted)
	granted, _ = l.Lend(claim(1, 4, 100), brittle.Load{Running: 3}, now)
	test.True(t, granted)
	l.Return("e", 0, "1", false, now.Add(10*time.Second))
	granted, _ = l.Lend(claim(2, 4, 100), brittle.Load{Running: 4}, now.Add(10*time.Second))
	test.False(t, granted)
}

// TestRefusalsStayWithinBudget checks that an endpoint which refuses everything refuses no more than half of what
// it bears per second, once it has refused a request.
func TestRefusalsStayWithinBudget(t *testing.T) {
	for _, refusals := range []int{0, 1, 3, 20} {
		var l brittle.Lender
		start := time.Unix(1000, 0)
		var refused []time.Time
		for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
			now := start.Add(at)
			lease := int(at / time.Millisecond)
			if granted, _ := l.Lend(claim(lease, 16, refusals), brittle.Load{}, now); granted {
				l.Return("e", 0, fmt.Sprint(lease), true, now.Add(2*time.Millisecond))
				refused = append(refused, now)
			}
		}
		test.Positive(t, len(refused))
		for i := range refused {
			count := 0
			for _, at := range refused[i:] {
				if at.Sub(refused[i]) < time.Second {
					count++
				}
			}
			test.LessEq(t, max(refusals/2, 1), count, test.Sprint(refusals))
		}
	}
}

// TestLoansThatAreNotRenewedExpire checks that the slots of a borrower that is gone are free again, and that those
// which are renewed are not, also at a lender that has just taken over.
func TestLoansThatAreNotRenewedExpire(t *testing.T) {
	var l, next brittle.Lender
	now := time.Unix(1000, 0)
	granted, _ := l.Lend(claim(1, 1, 3), brittle.Load{}, now)
	test.True(t, granted)
	granted, _ = l.Lend(claim(2, 1, 3), brittle.Load{}, now.Add(lifetime))
	test.False(t, granted)
	granted, _ = l.Lend(claim(2, 1, 3), brittle.Load{}, now.Add(lifetime+time.Millisecond))
	test.True(t, granted)

	renewal := claim(2, 1, 3)
	renewal.Renews = true
	granted, _ = next.Lend(renewal, brittle.Load{}, now)
	test.True(t, granted)
	granted, _ = next.Lend(claim(3, 1, 3), brittle.Load{}, now.Add(lifetime))
	test.False(t, granted)
}

// TestMemoryLimitsLoans checks that no slot is lent for a request that does not fit the endpoint's memory.
func TestMemoryLimitsLoans(t *testing.T) {
	var l brittle.Lender
	now := time.Unix(1000, 0)
	large := func(lease, tokens int) bool {
		c := claim(lease, 16, 100)
		c.Tokens, c.Capacity = tokens, 1000
		granted, _ := l.Lend(c, brittle.Load{HeldTokens: 100}, now)
		return granted
	}
	test.False(t, large(0, 1001))
	test.True(t, large(1, 600))
	test.False(t, large(2, 401))
	test.True(t, large(3, 400))
}

// TestRestartedEndpointStartsWithoutLoans checks that what was lent at one start of an endpoint doesn't count at
// the next, and that a late end of such a loan changes nothing.
func TestRestartedEndpointStartsWithoutLoans(t *testing.T) {
	var l brittle.Lender
	now := time.Unix(1000, 0)
	granted, _ := l.Lend(claim(1, 1, 1), brittle.Load{}, now)
	test.True(t, granted)
	next := claim(2, 1, 1)
	next.StartedMs = 5
	granted, _ = l.Lend(next, brittle.Load{}, now)
	test.True(t, granted)
	l.Return("e", 5, "1", true, now)
	l.Return("e", 5, "2", false, now)
	next.Lease = "3"
	granted, _ = l.Lend(next, brittle.Load{}, now.Add(time.Second))
	test.True(t, granted)
}
