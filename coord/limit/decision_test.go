package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestReorderedRequests checks that lenders and keepers ignore requests that
// arrive after a later request of the same process.
func TestReorderedRequests(t *testing.T) {
	s := newScenario(Limit{Runs: 20})
	n := s.nodes[0]
	s.nodes[1].demand[acct], s.nodes[1].runFor = 5, time.Second
	s.run(5 * time.Second)
	ask := func(seq uint64, runs int) []Loan {
		req := LeaseRequest{From: s.nodes[2].self, Seq: seq, Asks: []Ask{{Account: acct, Runs: runs}}}
		return n.lender.Handle(s.now, req).Loans
	}
	must.Eq(t, []Loan{{Account: acct, Runs: 8}}, ask(2, 8))
	must.SliceEmpty(t, ask(1, 2))
	must.SliceEmpty(t, ask(2, 2))
	must.Eq(t, 8, n.lender.accounts[acct].borrowers[s.nodes[2].self].validRuns(s.now))

	part := func(from Incarnation, seq uint64, acquire, release []string) int {
		req := PartRequest{From: from, Seq: seq, Acquire: acquire, Release: release}
		return len(s.nodes[1].keeper.Handle(s.now, req).Parts)
	}
	one, other := Incarnation{Node: "one"}, Incarnation{Node: "other"}
	part(n.self, 1<<40, nil, []string{acct})
	must.Eq(t, 1, part(one, 3, []string{acct}, nil))
	part(one, 2, nil, []string{acct})
	must.Eq(t, 0, part(other, 1, []string{acct}, nil))
	part(one, 4, nil, []string{acct})
	must.Eq(t, 1, part(other, 1, []string{acct}, nil))
}

// TestDecisions checks the reasons of refusals and their retry times.
func TestDecisions(t *testing.T) {
	s := newScenario(Limit{Requests: 70, Runs: 8}) // 2 static requests per second, at most 4 accrued; no static slot
	b := s.nodes[1].borrower
	must.Eq(t, Decision{Reason: UnknownAccount}, b.Allow(s.now, "stranger", 1))
	must.Eq(t, Decision{RunLimitReached, minRetry}, b.Allow(s.now, acct, 1))
	s.limits[acct] = Limit{Requests: 70}
	s.setOwner(-1, s.nodes...)
	s.run(time.Second)
	must.True(t, b.Allow(s.now, acct, 1).OK())
	must.True(t, b.Allow(s.now, acct, 1).OK())
	must.Eq(t, Decision{RequestLimitReached, minRetry}, b.Allow(s.now, acct, 1))
	b.accounts[acct].retryAt = s.now.Add(time.Minute)
	must.Eq(t, Decision{RequestLimitReached, 500 * time.Millisecond}, b.Allow(s.now, acct, 1))

	s = newScenario(Limit{Requests: 70, Tokens: 700}) // 2 static requests and 20 static tokens in the first second
	s.setOwner(-1, s.nodes...)
	s.run(time.Second)
	b = s.nodes[1].borrower
	must.True(t, b.Allow(s.now, acct, 15).OK())
	must.Eq(t, TokenLimitReached, b.Allow(s.now, acct, 15).Reason)
}
