package limit

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Sizes in bytes of the JSON-RPC envelopes of a request and of its response,
// each with a newline.
const (
	callEnvelope   = len(`{"jsonrpc":"2.0","id":1234567,"method":"limit.borrow","params":}`) + 1
	answerEnvelope = len(`{"jsonrpc":"2.0","id":1234567,"result":}`) + 1
)

const nodeRate = 97.0 // requests per second at each node

// sampledNode simulates the traffic of one node of a fleet. All nodes are alike,
// so each sends as many bytes in responses as the sampled node receives.
type sampledNode struct {
	nodes             int
	random            *rand.Rand
	limits            map[string]Limit
	names             []string
	weights           []float64 // cumulative
	borrower          *Borrower
	lender            *Lender // represents all owners
	waiting           map[string][]time.Time
	runEnds           map[time.Time][]string
	runFor            time.Duration
	calls             int
	bytes             int
	keeperBytes       int // bytes to and from keepers, for all accounts
	served            int
	servedImmediately int
	refused           int
}

func newSampledNode(settings Settings, accounts int, runFor time.Duration) *sampledNode {
	nodes := settings.Nodes
	s := &sampledNode{
		nodes: nodes, random: rand.New(rand.NewPCG(4, 4)), limits: map[string]Limit{}, runFor: runFor,
		waiting: map[string][]time.Time{}, runEnds: map[time.Time][]string{},
	}
	var sum float64
	for i := range accounts {
		sum += 1 / float64(i+1)
		s.weights = append(s.weights, sum)
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		s.names = append(s.names, name)
		rate := nodeRate * float64(nodes) / float64(i+1) / sum // half of the limit
		rate = max(rate, 10)
		limit := Limit{Requests: 2 * rate, Tokens: 2 * 300 * rate}
		if runFor > 0 {
			limit.Runs = int(math.Ceil(2 * rate * runFor.Seconds()))
		}
		s.limits[name] = limit
	}
	lookup := func(account string) (Limit, bool) { l, ok := s.limits[account]; return l, ok }
	owners, keepersOf := map[string]NodeID{}, map[string][]NodeID{}
	for i, name := range s.names {
		owners[name] = nodeID(i * 7919 % nodes)
		for part := range settings.Parts {
			keepersOf[name] = append(keepersOf[name], NodeID(fmt.Sprint(owners[name], "-keeper-", part)))
		}
	}
	owner := func(account string) NodeID { return owners[account] }
	keepers := func(account string) []NodeID { return keepersOf[account] }
	self := func(string) NodeID { return "sample" }
	incarnation := Incarnation{Node: "sample", Number: math.MaxUint64 / 3}
	s.borrower = NewBorrower(epoch, BorrowerConfig{Settings: settings, Self: incarnation, Limits: lookup, Owner: owner})
	s.lender = NewLender(LenderConfig{Settings: settings, Self: incarnation, Limits: lookup, Owner: self, Keepers: keepers})
	return s
}

func encodedSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(text)
}

// allow admits a request that arrived at the given time, queues it, or refuses
// it if it has waited for a second.
func (s *sampledNode) allow(now, arrived time.Time, account string) {
	switch {
	case s.borrower.Allow(now, account, 300).OK():
		s.served++
		if now.Equal(arrived) {
			s.servedImmediately++
		}
		end := now.Add(s.runFor)
		s.runEnds[end] = append(s.runEnds[end], account)
	case now.Sub(arrived) >= time.Second:
		s.refused++
	default:
		s.waiting[account] = append(s.waiting[account], arrived)
	}
}

func (s *sampledNode) step(now time.Time) {
	for _, account := range s.runEnds[now] {
		s.borrower.Done(now, account, 0)
	}
	delete(s.runEnds, now)
	waiting := s.waiting
	s.waiting = map[string][]time.Time{}
	for _, account := range slices.Sorted(maps.Keys(waiting)) {
		for _, arrived := range waiting[account] {
			s.allow(now, arrived, account)
		}
	}
	expected := nodeRate * tick.Seconds()
	for s.random.Float64() < expected/(1+expected) { // geometric, with this mean
		u := s.random.Float64() * s.weights[len(s.weights)-1]
		var i int
		for s.weights[i] < u {
			i++
		}
		s.allow(now, now, s.names[i])
	}
	if len(s.waiting) == 0 && now.Sub(epoch)%(5*tick) != 0 {
		return
	}
	for _, call := range s.borrower.Next(now) {
		grant := s.lender.Handle(now, call.Request)
		s.borrower.Receive(now, grant)
		s.calls++
		s.bytes += encodedSize(call.Request) + callEnvelope + encodedSize(grant) + answerEnvelope
	}
	others := Incarnation{Node: "others"}
	if now.Sub(epoch)%(10*tick) != 0 {
		return
	}
	for _, account := range s.names {
		s.lender.pool(now, account).borrower(others).lastRequestAt = now // the other nodes keep sending requests
	}
	for _, call := range s.lender.Next(now) {
		grant := grantAll(call)
		s.lender.Receive(now, grant)
		s.keeperBytes += encodedSize(call.Request) + callEnvelope + encodedSize(grant) + answerEnvelope
	}
}

func (s *sampledNode) run(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(tick)
		s.step(now)
	}
	return now
}

// TestMessageBytes bounds the message traffic in bytes per second that a node
// sends to enforce the limits, so that it does not grow unnoticed. The
// responses that it receives count as those that it sends, because all nodes are
// alike.
func TestMessageBytes(t *testing.T) {
	withStatic := func(s Settings, share float64, staticBurst time.Duration) Settings {
		s.StaticShare, s.StaticBurst = share, staticBurst
		return s
	}
	withRunLease := func(s Settings, runLease time.Duration) Settings {
		s.RunLease = runLease
		return s
	}
	small, medium, large := DefaultSettings(7), DefaultSettings(100), DefaultSettings(1000)
	tests := []struct {
		settings Settings
		accounts int
		runFor   time.Duration
		maxBytes int // bytes per second sent by a node
	}{
		{small, 10, 0, 2700},
		{small, 1300, 0, 30000},
		{medium, 1300, 0, 32000},
		{large, 10, 0, 1800},
		{large, 1300, 0, 31000},
		{withStatic(large, 0.5, 30*time.Second), 1300, 0, 12000},
		{small, 10, 30 * time.Second, 4400},
		{large, 1300, 30 * time.Second, 62000},
		{withRunLease(large, time.Minute), 1300, 30 * time.Second, 40000},
	}
	for _, tc := range tests {
		st := tc.settings
		name := fmt.Sprintf("%d/%d/%.1f/%s/%s/%s", st.Nodes, tc.accounts, st.StaticShare, st.StaticBurst, st.RunLease, tc.runFor)
		t.Run(name, func(t *testing.T) {
			s := newSampledNode(st, tc.accounts, tc.runFor)
			now := s.run(epoch, max(10*time.Second, 2*st.StaticBurst))
			s.calls, s.bytes, s.keeperBytes, s.served, s.servedImmediately, s.refused = 0, 0, 0, 0, 0, 0
			const seconds = 20
			s.run(now, seconds*time.Second)
			partBytes := s.keeperBytes / st.Nodes / seconds
			totalBytes := s.bytes/seconds + partBytes
			t.Logf("%4.1f calls/s, %d B/s, of these %d B/s for parts; %.1f%% of %d admitted immediately, %d refused; excess %.1f s",
				float64(s.calls)/seconds, totalBytes, partBytes, 100*float64(s.servedImmediately)/float64(s.served), s.served, s.refused, st.Excess(1))
			must.LessEq(t, tc.maxBytes, totalBytes)
			must.Eq(t, 0, s.refused)
		})
	}
}
