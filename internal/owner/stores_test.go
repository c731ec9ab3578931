package owner

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/kvcache"
)

// withStores returns a service whose configuration has the given numbers of engines
// and store hosts.
func withStores(engines, stores int) (*Service, *config.Store) {
	store := config.NewStore()
	add := func(name string, kind pb.EndpointKind) {
		e := &pb.Endpoint{Name: name, Kind: kind}
		store.Apply(config.Entry{Revision: store.View().Applied() + 1, Kind: config.KindEndpoint, Name: name, Value: e})
	}
	for i := range engines {
		add(fmt.Sprintf("engine-%05d", i), pb.EndpointKind_ENDPOINT_KIND_ENGINE)
	}
	for i := range stores {
		add(fmt.Sprintf("store-%04d", i), pb.EndpointKind_ENDPOINT_KIND_STORE)
	}
	return &Service{directory: directory{store}}, store
}

type directory struct{ *config.Store }

func (d directory) ConfigStore() *config.Store { return d.Store }

var chain = kvcache.Identity{Account: "a", Model: "m"}.TextChain(string(make([]byte, 1<<16)))

// TestStoresForFollowsTheConfiguration takes a store host out of service. The next one
// in order of preference must replace it immediately.
func TestStoresForFollowsTheConfiguration(t *testing.T) {
	s, store := withStores(3, 5)
	var nodes []rendezvous.Node
	for i := range 5 {
		nodes = append(nodes, rendezvous.Node{ID: fmt.Sprintf("store-%04d", i), Weight: 1})
	}
	want := rendezvous.Top(3, chain[rootChunks-1].String(), nodes)
	must.Eq(t, want[:2], s.StoresFor(chain))
	leaving := &pb.Endpoint{Name: want[0], Kind: pb.EndpointKind_ENDPOINT_KIND_STORE, Leaving: true}
	store.Apply(config.Entry{Revision: 100, Kind: config.KindEndpoint, Name: want[0], Value: leaving})
	must.Eq(t, want[1:], s.StoresFor(chain))
	must.Len(t, 0, s.StoresFor(chain[:minOfferChunks-1]))
}

func BenchmarkStoresFor(b *testing.B) {
	for _, engines := range []int{9, 1000, 12000} {
		s, store := withStores(engines, max(2, engines/10))
		b.Run(fmt.Sprintf("same-view/engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				s.StoresFor(chain)
			}
		})
		b.Run(fmt.Sprintf("new-view/engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				store.Advance(store.View().Applied() + 1)
				s.StoresFor(chain)
			}
		})
	}
}
