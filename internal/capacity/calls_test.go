package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/limit"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/capacity/measure"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/rollout"
)

const layoutName = "layout-a"

// promptOf returns a prompt with the given number of complete chunks.
func promptOf(chunks int) owner.Prompt {
	p := owner.Prompt{Account: "account-0815", Model: "model-17", Version: "v3", Size: chunks * kvcache.TextChunkBytes, TimeLeft: 5 * time.Minute}
	p.Chain = p.Identity().TextChain(strings.Repeat("x", p.Size))
	return p
}

// blocksOf returns the engine's blocks of a prompt, one per four chunks.
func blocksOf(chunks int) []enginewire.Block {
	blocks := make([]enginewire.Block, chunks/4)
	for i := range blocks {
		blocks[i] = enginewire.Block{ID: fmt.Sprintf("%032x", i), EndToken: 2048 * (i + 1), Bytes: 64 << 20}
	}
	return blocks
}

func estimateAnswer(name string) placement.EngineEstimate {
	return placement.EngineEstimate{Endpoint: name, Status: placement.Known, Wait: 123456789, PrefillRate: 41234.5, StepTime: 12345678, CachedTokens: 20480,
		Running: 24, Waiting: 3, ImportRate: 104857600, LastWait: 123456789, Layout: layoutName, BlockTokens: 2048, BlockBytes: 64 << 20}
}

// benchCall measures a call of a method between two nodes and its bytes on the wire.
func benchCall[Req, Resp any](b *testing.B, method string, req *Req, resp *Resp) {
	addr, traffic := peerServer(b, 1, method, resp, req), &peers.Traffic{}
	pool := peers.NewPool(peers.Identity{ID: "n0", Incarnation: 1}, key, nil, traffic)
	call := func() {
		_, err := peers.Call[Req, Resp](b.Context(), pool, addr, method, req)
		must.NoError(b, err)
	}
	call()
	before := traffic.Sent.Load() + traffic.Received.Load()
	measurePerOp(b, call)
	b.ReportMetric(float64(traffic.Sent.Load()+traffic.Received.Load()-before)/float64(b.N), "wire-bytes/op")
}

// BenchmarkRequestCalls measures each call between nodes that a request makes, by the number of chunks
// of 2,048 bytes in its prompt. Both ends are in this process; the owner's work is not included.
func BenchmarkRequestCalls(b *testing.B) {
	name := "endpoint-01234"
	grant := strings.Repeat("g", 32)
	for _, chunks := range []int{15, 58, 117} {
		p := promptOf(chunks)
		b.Run(fmt.Sprintf("estimate/chunks=%d", chunks), func(b *testing.B) {
			benchCall(b, owner.MethodEstimate, &owner.EstimateRequest{Prompt: p, Engines: []string{name}},
				&owner.EstimateResponse{PromptTokens: 60_000, Engines: []placement.EngineEstimate{estimateAnswer(name)}})
		})
		b.Run(fmt.Sprintf("grant/chunks=%d", chunks), func(b *testing.B) {
			benchCall(b, owner.MethodGrant, &owner.GrantRequest{Endpoint: name, Grant: grant, Weight: 1, Prompt: p, Tokens: 60_000,
				Import: placement.Import{Store: "store-0123", FromToken: 20_480, Tokens: 30_000}}, &owner.GrantResponse{ImportedTokens: 30_000, ImportedBytes: 1 << 30})
		})
		b.Run(fmt.Sprintf("first/chunks=%d", chunks), func(b *testing.B) {
			benchCall(b, owner.MethodFirst, &owner.FirstTokenRequest{Endpoint: name, Grant: grant, PromptTokens: 60_000, CachedTokens: 50_000}, &owner.None{})
		})
		b.Run(fmt.Sprintf("release/chunks=%d", chunks), func(b *testing.B) {
			benchCall(b, owner.MethodRelease, &owner.ReleaseRequest{Endpoint: name, Grant: grant, FirstToken: 512345678, Total: 19123456789, PromptTokens: 60_000,
				CachedTokens: 50_000, OutputTokens: 288, Incarnation: grant, Prompt: p, Blocks: blocksOf(chunks)}, &owner.ReleaseResponse{Wait: 123456789})
		})
		b.Run(fmt.Sprintf("offer/chunks=%d", chunks), func(b *testing.B) {
			var placements []kvcache.Placement
			for i, block := range blocksOf(chunks) {
				placements = append(placements, kvcache.Placement{At: p.Chain[4*i], Index: i, Block: kvcache.Block{ID: block.ID, EndToken: block.EndToken, Bytes: block.Bytes}})
			}
			benchCall(b, "owner.offer", &offer{Store: "store-0123", Engine: name, Prompt: p, Layout: layoutName, Placements: placements, PrefillRate: 41234.5}, &owner.None{})
		})
	}
}

// BenchmarkHolders measures a request to a model's rollout board for the engines that hold its
// versions. The board's work is not included.
func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		held := holders{Whole: true, Holders: []rollout.Holders{{Version: "v3", Count: n}}}
		for i := range n {
			held.Holders[0].Engines = append(held.Holders[0].Engines, fmt.Sprintf("endpoint-%05d", i))
		}
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			benchCall(b, "rollout.holders", &holdersOf{Model: "model-17"}, &held)
		})
	}
}

// BenchmarkReport measures a report on an engine to a model's rollout board. The board's work is not
// included.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{1, 2, 3} {
		report := rollout.Report{Model: "model-17", Engine: "endpoint-01234", Domain: "domain-07"}
		for i := range n {
			report.Holdings = append(report.Holdings, rollout.Holding{Version: fmt.Sprint("v", i), Completed: 123456, Failed: 12, Age: 1000 * time.Hour})
		}
		b.Run(fmt.Sprintf("versions=%d", n), func(b *testing.B) {
			benchCall(b, "rollout.report", &report, &rollout.Standing{Model: "model-17"})
		})
	}
}

// holdersOf and holders have the same fields as the rollout service's messages.
type holdersOf struct {
	Model string `json:"m"`
}

type holders struct {
	Holders []rollout.Holders `json:"h,omitempty"`
	Whole   bool              `json:"w,omitempty"`
}

// offer has the same fields as the message between owners.
type offer struct {
	Store       string              `json:"s"`
	Engine      string              `json:"e"`
	Prompt      owner.Prompt        `json:"p"`
	Layout      string              `json:"l"`
	Placements  []kvcache.Placement `json:"pl"`
	PrefillRate float64             `json:"r"`
}

func BenchmarkFingerprint(b *testing.B) {
	id := kvcache.Identity{Account: "a", Model: "m", Version: "v"}
	for _, n := range []int{32_000, 120_000, 240_000} {
		prompt := strings.Repeat("pass or hold? ", n/14)
		b.Run(fmt.Sprintf("bytes=%d", n), func(b *testing.B) {
			measurePerOp(b, func() { id.TextChain(prompt) })
		})
	}
}

// BenchmarkNextRound measures a round of a borrower that has nothing to borrow.
func BenchmarkNextRound(b *testing.B) {
	epoch := time.Unix(1_900_000_000, 0)
	ample := func(string) (limit.Limit, bool) { return limit.Limit{Requests: 1e12, Tokens: 1e12}, true }
	for _, n := range []int{10, 300, 1300} {
		borrower := limit.NewBorrower(epoch, limit.BorrowerConfig{Settings: limit.DefaultSettings(1000), Limits: ample, Owner: func(string) limit.NodeID { return "" }})
		for i := range n {
			borrower.Allow(epoch.Add(time.Second), fmt.Sprintf("account-%04d", i), 300)
		}
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			measurePerOp(b, func() { borrower.Next(epoch.Add(2 * time.Second)) })
		})
	}
}

// BenchmarkEvents measures decoding a response with cache events.
func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			events := enginewire.Events{Incarnation: strings.Repeat("i", 16), Next: 123456}
			for i := range n {
				events.Events = append(events.Events, enginewire.KVEvent{Seq: uint64(123456 + i), Block: fmt.Sprintf("%032x", i), Removed: i%2 == 0})
			}
			data, err := json.Marshal(events)
			must.NoError(b, err)
			measurePerOp(b, func() {
				var out enginewire.Events
				must.NoError(b, json.Unmarshal(data, &out))
			})
			b.ReportMetric(float64(len(data)), "body-bytes")
		})
	}
}

// BenchmarkTickets measures issuing and executing tickets of one account, and reports the memory of its
// window.
func BenchmarkTickets(b *testing.B) {
	answer := func(context.Context) (ticket.Answer, error) { return nil, nil }
	for _, n := range []int{1024, 16_384, 65_536} {
		b.Run(fmt.Sprintf("tickets=%d", n), func(b *testing.B) {
			measurePerOp(b, func() {
				e, err := ticket.New(ticket.Config{Self: ticket.Incarnation{Node: "n", Number: 1}, Key: make(ticket.Key, 32), Window: 1 << 16, MaxAnswersPerAccount: 1, MaxAnswerBytes: 1 << 10, AnswerTTL: time.Minute, AdoptedTTL: time.Hour})
				must.NoError(b, err)
				before := measure.MemoryInUse()
				for i := range n {
					_, err := e.Issue("a", 1)
					must.NoError(b, err)
					used := ticket.Ticket{Incarnation: ticket.Incarnation{Node: "n", Number: 1}, Serial: uint64(i), Account: "a"}
					_, err = e.Do(b.Context(), used, "a", ticket.Fingerprint{}, answer)
					must.NoError(b, err)
				}
				b.ReportMetric(measure.MemoryInUse()-before, "bytes")
				runtime.KeepAlive(e)
			})
		})
	}
}
