package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
)

// largeFixture returns the placer of a node in a large system, with the given number of engines in
// three failure domains and a store for every fifteenth engine, and a query to place.
func largeFixture(engines int) (*placer.Placer, *forward.Query) {
	f := fleet.New(zerolog.Nop())
	index := kvindex.NewIndex(nil, nil, zerolog.Nop())
	now := time.Now()
	for i := range engines {
		f.Update(&fleet.Endpoint{
			ID: fmt.Sprintf("i-%010x", i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.%d:1", i%3, i>>8, i&0xff), Domain: fmt.Sprint("d", i%3), Slots: 64,
			Weights: []fleet.Weights{{Model: model, Version: 1}},
		}, now)
	}
	var stores []*kvindex.Holder
	for i := range max(engines/15, 1) {
		addr := fmt.Sprintf("172.20.%d.%d:1", i>>8, i&0xff)
		h := kvindex.NewHolder(addr, addr, fmt.Sprint("d", i%3))
		h.Mbps, h.Tokens = 300_000, 1_000_000
		stores = append(stores, h)
	}
	index.Replace(nil, stores)
	for i, h := range stores {
		events := &kvindex.Events{Epoch: 1, Next: 2, ClockMS: 1, ConfirmedAt: now.Add(time.Hour)}
		if i == 0 {
			events.Changes = shared(1, "")
		}
		index.Apply(h, events)
	}
	p := newPlacer(f, index)
	p.Domain, p.FullMesh, p.Nodes = "d0", func() bool { return engines <= 12 }, func() int { return engines }
	p.Evacuated, p.MaxColdPerSecond = func(string) bool { return false }, func(*routing.Service) int { return 0 }
	q := query()
	q.Service.Engine.KVTokens = 150_000
	return p, q
}

// BenchmarkPlace places a session's prompt whose parts are kept by a store, for several numbers of
// engines.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{10, 60, 204, 1000, 3000} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			p, q := largeFixture(engines)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Place(q); !ok {
					b.Fatal("the prompt was not placed")
				}
			}
		})
	}
}
