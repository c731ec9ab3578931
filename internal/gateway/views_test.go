package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/peerload"
)

// view is what one node knows of versions.
type view struct {
	*keeping
	state *state
}

func noBounds() bootstrap.Bounds { return bootstrap.Bounds{} }

func newView(name string) view {
	n := &Node{state: newState(noBounds, zerolog.Nop())}
	n.boot.Store(&bootstrap.Node{Name: name})
	n.roster = newRoster(name, nodeEntry{}, nil, nil, nil, zerolog.Nop())
	n.fleet = fleet.New(zerolog.Nop())
	n.peers = &peerload.Exchange{Table: peerload.NewTable()}
	return view{keeping: &keeping{node: n}, state: n.state}
}

// sees notes the weights of the view's only engine.
func (v view) sees(version int64) {
	v.node.fleet.Update(&fleet.Endpoint{ID: "e", Service: "s", Weights: []fleet.Weights{{Model: model, Version: version}}}, time.Now())
}

// knows notes the other nodes that there are.
func (v view) knows(t *testing.T, names ...string) {
	t.Helper()
	v.node.roster.set = func([]peerload.Peer) {}
	var batch follow.Batch
	for _, name := range names {
		value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: name, Value: value})
	}
	v.node.roster.Apply(batch)
}

// hears takes another view's newest promises.
func (v view) hears(from view, seq int64) {
	name := from.node.boot.Load().Name
	v.node.peers.Table.Take(peerload.Digest{Node: name, Incarnation: 1, Seq: seq, Names: from.names()}, time.Now())
}

// read takes the versions named since the last read, as a read that was sent now.
func (v view) read(t *testing.T, versions ...int64) {
	t.Helper()
	batch := follow.Batch{ProvenAt: time.Now()}
	for _, version := range versions {
		value, err := json.Marshal(map[string]any{"model": model, "version": version})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: "version/" + model, Value: value})
	}
	v.state.Apply(batch)
}

func salt(version int64) string { return kept.Salt{Model: model, Version: version}.String() }

// newLargeViews returns the views of a large system's nodes: the freer is alone in its failure
// domain, the others are in a second one. The freer is one of the few that free early.
func newLargeViews(t *testing.T) (freer view, others []view) {
	t.Helper()
	for i := 0; ; i++ {
		if freer, others = largeViews(t, fmt.Sprint("freer", i)); freer.node.Standby() {
			return freer, others
		}
	}
}

func largeViews(t *testing.T, freer string) (view, []view) {
	t.Helper()
	names := []string{freer}
	for i := range 12 {
		names = append(names, fmt.Sprint("n", i))
	}
	var batch follow.Batch
	for i, name := range names {
		value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1", Domain: domainOf(i)})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: name, Value: value})
	}
	var others []view
	for i, name := range names {
		v := newView(name)
		v.node.roster = newRoster(name, nodeEntry{Domain: domainOf(i)}, nil, func([]peerload.Peer) {}, nil, zerolog.Nop())
		v.node.roster.Apply(batch)
		others = append(others, v)
	}
	return others[0], others[1:]
}

// domainOf returns the failure domain of a large system's node; the freer is the first.
func domainOf(node int) string { return fmt.Sprint("d", min(node, 1)) }

// hearsDomain takes what a node says of its failure domain.
func (v view) hearsDomain(speaker view, seq int64) {
	near := speaker.node.roster.othersByDomain()[speaker.node.roster.own.Domain]
	v.node.peers.Table.TakeDomain(peerload.DomainDigest{
		Node: speaker.node.boot.Load().Name, Domain: speaker.node.roster.own.Domain, Incarnation: 1, Seq: seq,
		Members: peerload.MembersOf(near...) + peerload.MembersOf(speaker.node.boot.Load().Name), Names: speaker.node.peers.Table.DomainNames(speaker.names(), near),
	}, time.Now())
}
