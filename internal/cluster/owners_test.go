package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/config"
)

const self = "node-0000"

// viewOf returns a view of n members and the nodes among them that accept new work.
// Members for which out returns true do not.
func viewOf(n int, out func(i int) bool) (member.View, []rendezvous.Node) {
	var view member.View
	var nodes []rendezvous.Node
	for i := range n {
		m := member.Member{ID: fmt.Sprintf("node-%04d", i), Addr: fmt.Sprint("addr-", i), Incarnation: 1, State: member.Alive}
		if out(i) {
			m.State = []member.State{member.Leaving, member.Dead}[i%2]
		} else {
			nodes = append(nodes, rendezvous.Node{ID: m.ID, Weight: 1})
		}
		view.Members = append(view.Members, m)
	}
	return view, nodes
}

// TestOwners changes members and tracked keys at random. Every key must have the owner
// that rendezvous hashing of the members determines, and Owned and OwnerChanges must be
// consistent with it.
func TestOwners(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	o := newOwners(self)
	_, _, ok := o.owner("key")
	must.False(t, ok)
	tracked := map[string]bool{}
	var changes uint64
	for range 60 {
		for range 10 {
			key := fmt.Sprint("key", r.IntN(60))
			if r.IntN(3) == 0 {
				o.untrack(key)
				delete(tracked, key)
			} else {
				o.track(key)
				tracked[key] = true
			}
		}
		before := o.owned()
		view, nodes := viewOf(9, func(i int) bool { return i > 0 && r.IntN(4) == 0 })
		o.update(view)
		owned := []string{}
		for i := range 60 {
			key := fmt.Sprint("key", i)
			want, _ := rendezvous.Owner(key, nodes)
			id, addr, ok := o.owner(key)
			must.True(t, ok)
			must.Eq(t, want, id)
			member, _ := view.Lookup(id)
			must.Eq(t, member.Addr, addr)
			if tracked[key] && want == self {
				owned = append(owned, key)
			}
			if tracked[key] && (want == self) != slices.Contains(before, key) {
				changes++
			}
		}
		got := o.owned()
		slices.Sort(got)
		slices.Sort(owned)
		must.Eq(t, owned, got)
		must.Eq(t, changes, o.changes)
	}
	must.Positive(t, changes)
}

func TestHostLeaving(t *testing.T) {
	c := &Cluster{}
	e := &pb.Endpoint{Url: "http://10.0.0.1:80/base"}
	must.False(t, c.HostLeaving(e))
	c.leavingHosts.Store(&map[string]bool{"10.0.0.1:80": true})
	must.True(t, c.HostLeaving(e))
	must.False(t, c.HostLeaving(&pb.Endpoint{Url: "http://10.0.0.2:80"}))
	must.False(t, c.HostLeaving(&pb.Endpoint{Url: ":"}))
}

// BenchmarkOwners measures the cost of ownership at the planned size: one check of all
// endpoints without changes, by lookup and by tracked owners, and the leaving and
// rejoining of a member.
func BenchmarkOwners(b *testing.B) {
	const endpoints = 12_000
	for _, nodes := range []int{9, 100, 1000} {
		with, list := viewOf(nodes, func(int) bool { return false })
		without, _ := viewOf(nodes, func(i int) bool { return i == 1 })
		o := newOwners(self)
		o.update(with)
		set := rendezvous.NewSet(list)
		view := config.NewView()
		for i := range endpoints {
			e := &pb.Endpoint{Name: fmt.Sprintf("engine-%05d", i)}
			view = view.With(config.Entry{Revision: int64(i + 1), Kind: config.KindEndpoint, Name: e.GetName(), Value: e})
			o.track(e.GetName())
		}
		b.Run(fmt.Sprintf("second-by-look-up/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				for _, item := range view.Items(config.KindEndpoint) {
					set.Owner(item.Value.GetName())
				}
			}
		})
		b.Run(fmt.Sprintf("second-tracked/nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for _, name := range o.owned() {
					_, _ = view.Endpoint(name)
					_, _, _ = o.owner(name)
				}
			}
			b.ReportMetric(float64(len(o.ownedKeys)), "owned")
		})
		b.Run(fmt.Sprintf("leave+join/nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				o.update(without)
				o.update(with)
			}
		})
	}
}
