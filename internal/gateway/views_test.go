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
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
)

// view is a node reduced to the state and the cache tracker.
type view struct {
	*cacheTracker
	state *state
}

func noBounds() bootstrap.Bounds { return bootstrap.Bounds{} }

func newView(name string) view {
	n := &Node{state: newState(noBounds, zerolog.Nop()), registry: &registry{}}
	n.boot.Store(&bootstrap.Node{Name: name})
	n.roster = newRoster(name, nodeEntry{}, noTopic{}, nil, nil, zerolog.Nop())
	n.fleet = fleet.New(zerolog.Nop())
	n.peers = &peerload.Exchange{Table: peerload.NewTable()}
	return view{cacheTracker: &cacheTracker{node: n}, state: n.state}
}

// newListedView returns the view of a node whose entry was listed when it started.
func newListedView(name string) view {
	v := newView(name)
	value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
	if err != nil {
		panic(err) // can't fail for an entry
	}
	v.node.roster.setPeers = func([]peerload.Peer) {}
	v.node.roster.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: name, Value: value}}})
	return v
}

// setEngineVersion sets the weights of the view's only engine.
func (v view) setEngineVersion(version int64) {
	v.node.fleet.Update(&fleet.Endpoint{ID: "e", Service: "s", Weights: []fleet.Weights{{Model: model, Version: version}}}, time.Now())
}

// setNodes applies the entries of the listed nodes.
func (v view) setNodes(t *testing.T, names ...string) {
	t.Helper()
	v.node.roster.setPeers = func([]peerload.Peer) {}
	var batch follow.Batch
	for _, name := range names {
		value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: name, Value: value})
	}
	v.node.roster.Apply(batch)
}

// receiveFrom receives another view's newest watermarks.
func (v view) receiveFrom(from view, seq int64) {
	name := from.node.boot.Load().Name
	v.node.peers.Table.Record(peerload.Digest{Node: name, Incarnation: 1, Seq: seq, References: from.referencedWatermarks()}, time.Now())
}

// readVersions applies the versions announced since the last read, as a read that was sent now.
func (v view) readVersions(t *testing.T, versions ...int64) {
	t.Helper()
	batch := follow.Batch{ConfirmedAt: time.Now()}
	for _, version := range versions {
		value, err := json.Marshal(map[string]any{"model": model, "version": version})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: "version/" + model, Value: value})
	}
	v.state.Apply(batch)
}

func salt(version int64) string { return kvindex.Salt{Model: model, Version: version}.String() }

// newLargeViews returns the views of a large system's nodes. The freeing node is alone in its
// failure domain and is a standby, so that it frees early; the others share a second failure
// domain.
func newLargeViews(t *testing.T) (freeingNode view, others []view) {
	t.Helper()
	for i := 0; ; i++ {
		if freeingNode, others = largeViews(t, fmt.Sprint("freer", i)); freeingNode.node.Standby() {
			return freeingNode, others
		}
	}
}

// largeViews returns the views of a large system whose first node is the freeing node.
func largeViews(t *testing.T, freeingNode string) (view, []view) {
	t.Helper()
	names := []string{freeingNode}
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
		v.node.roster = newRoster(name, nodeEntry{Domain: domainOf(i)}, noTopic{}, func([]peerload.Peer) {}, nil, zerolog.Nop())
		v.node.roster.Apply(batch)
		others = append(others, v)
	}
	return others[0], others[1:]
}

// domainOf returns the failure domain of the node with an index; the freeing node has index 0.
func domainOf(node int) string { return fmt.Sprint("d", min(node, 1)) }

// receiveDomain receives a node's report on its failure domain.
func (v view) receiveDomain(representative view, seq int64) {
	domainNodes := representative.node.roster.othersByDomain()[representative.node.roster.own.Domain]
	v.node.peers.Table.RecordDomainDigest(peerload.DomainDigest{
		Node: representative.node.boot.Load().Name, Domain: representative.node.roster.own.Domain, Incarnation: 1, Seq: seq,
		Members: peerload.MembersOf(domainNodes...) + peerload.MembersOf(representative.node.boot.Load().Name), References: representative.node.peers.Table.DomainReferences(representative.referencedWatermarks(), domainNodes),
	}, time.Now())
}
