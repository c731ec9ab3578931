package config

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
	"github.com/cherryward/cherryward/internal/result"
)

// testReplica is a node's replica of the configuration in a shared log.
type testReplica struct {
	*Replica
	t *testing.T
}

func startReplica(t *testing.T, log *logtest.Log) testReplica {
	n := testReplica{NewReplica(changelog.NewStore(log, Schema{}, 0), NewStore()), t}
	must.NoError(t, n.log.LoadFromLog(t.Context()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); must.ErrorIs(t, <-done, context.Canceled) })
	return n
}

// put proposes the write of an object, with a timeout of one second of virtual time.
func (n testReplica) put(id string, basedOn int64, v Value) (int64, *result.Error) {
	raw, err := Encode(v)
	must.NoError(n.t, err)
	return n.propose(Change{ID: id, Kind: KindOf(v), Name: v.GetName(), BasedOn: basedOn, Value: raw})
}

func (n testReplica) propose(c Change) (int64, *result.Error) {
	ctx, cancel := context.WithTimeout(n.t.Context(), time.Second)
	defer cancel()
	outcome, err := n.Propose(ctx, c)
	if err != nil {
		return 0, result.From(err)
	}
	must.NoError(n.t, n.store.Wait(ctx, outcome.Revision))
	return outcome.Revision, nil
}

// names returns the names of a replica's objects of a kind after it has read the log.
func (n testReplica) names(kind Kind) (names []string) {
	must.NoError(n.t, n.log.Poll(n.t.Context()))
	synctest.Wait()
	for _, item := range n.store.View().Items(kind) {
		names = append(names, item.Value.GetName())
	}
	return names
}

func TestReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(logtest.Log)
		a, b := startReplica(t, log), startReplica(t, log)

		// Two operators write the same object at two nodes: one write succeeds.
		won, refused := a.put("c1", 0, &pb.ClientAccount{Name: "mill", KeyHashes: []string{HashKey("k1")}})
		must.Nil(t, refused)
		_, refused = b.put("c2", 0, &pb.ClientAccount{Name: "mill"})
		must.Eq(t, result.RevisionConflict, refused.Code)
		must.Eq(t, won, refused.Revision)

		// A second account with the same key is rejected, also at another node.
		_, refused = b.put("c3", 0, &pb.ClientAccount{Name: "thief", KeyHashes: []string{HashKey("k1")}})
		must.Eq(t, result.InvalidObject, refused.Code)
		must.Eq(t, "account.key_hashes[0]", refused.Field)
		raw, err := Encode(&pb.ClientAccount{Name: "other"})
		must.NoError(t, err)
		_, refused = b.propose(Change{ID: "c4", Kind: KindAccount, Name: "named", Value: raw})
		must.Eq(t, "account.name", refused.Field)

		// The response is lost after the change was appended; a retry gets the first
		// outcome.
		log.LoseResponses(1)
		first, refused := a.put("c5", 0, &pb.Model{Name: "m"})
		must.Nil(t, refused)
		again, refused := b.put("c5", 0, &pb.Model{Name: "m"})
		must.Nil(t, refused)
		must.Eq(t, first, again)

		// If the log is down for longer than the caller's timeout, the outcome is unknown.
		log.SetDown(true)
		_, refused = a.put("c6", 0, &pb.Model{Name: "m2"})
		must.Eq(t, result.OutcomeUnknown, refused.Code)
		must.Eq(t, []string{"m"}, b.localNames(KindModel))
		log.SetDown(false)

		_, refused = b.put("c7", 0, engine("e1", "m"))
		must.Nil(t, refused)
		_, refused = a.propose(Change{ID: "c8", Kind: KindModel, Name: "m", BasedOn: first, Delete: true})
		must.Eq(t, result.StillReferenced, refused.Code)
		_, refused = a.propose(Change{ID: "c9", Kind: KindAccount, Name: "mill", BasedOn: won, Delete: true})
		must.Nil(t, refused)

		// A node that starts later has the same state.
		late := startReplica(t, log)
		for _, n := range []testReplica{a, b, late} {
			must.Eq(t, []string{"e1"}, n.names(KindEndpoint))
			must.Len(t, 0, n.names(KindAccount))
			must.Len(t, 1, n.store.View().Engines("m"))
		}
		must.Eq(t, a.store.View().Applied(), late.store.View().Applied())
	})
}

// localNames returns the names of a replica's objects of a kind without reading the log.
func (n testReplica) localNames(kind Kind) (names []string) {
	synctest.Wait()
	for v := range n.store.View().All(kind) {
		names = append(names, v.GetName())
	}
	return slices.Sorted(slices.Values(names))
}
