package config

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

func drawEntry(t *rapid.T) Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	if rapid.Bool().Draw(t, "account") {
		key := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")
		return Entry{Kind: KindAccount, Name: name, Value: &pb.ClientAccount{Name: name, KeyHashes: []string{HashKey(name + key)}}}
	}
	e := engine(name, rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"m1", "m2", "m3"}), 0, 3, rapid.ID).Draw(t, "models")...)
	e.Leaving = rapid.Bool().Draw(t, "leaving")
	e.Service = rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "service")
	return Entry{Kind: KindEndpoint, Name: name, Value: e}
}

// TestViewMatchesRebuild applies random writes and deletions. The view must equal one
// that is built from the remaining objects only, and an earlier view must not change.
func TestViewMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, remaining := NewView(), map[string]Entry{}
		var earlier *View
		var earlierEngines []*pb.Endpoint
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			e := drawEntry(t)
			e.Revision = int64(i + 1)
			stored := e
			stored.Created = remaining[string(e.Kind)+e.Name].Created
			if stored.Created == 0 {
				stored.Created = e.Revision // new, or created again after a deletion
			}
			remaining[string(e.Kind)+e.Name] = stored
			if rapid.Bool().Draw(t, "delete") {
				e.Value = nil
				delete(remaining, string(e.Kind)+e.Name)
			}
			earlier, earlierEngines = view, slices.Clone(view.Engines("m1"))
			view = view.With(e)
		}
		rebuilt := NewView()
		for _, e := range remaining {
			rebuilt = rebuilt.With(e)
		}
		must.Eq(t, earlierEngines, earlier.Engines("m1"))
		must.Eq(t, rebuilt.byModel, view.byModel)
		must.Eq(t, rebuilt.byService, view.byService)
		must.Eq(t, maps.Collect(rebuilt.byKey.all()), maps.Collect(view.byKey.all()))
		for _, kind := range Kinds() {
			must.Eq(t, rebuilt.Items(kind), view.Items(kind))
			must.Eq(t, view.Len(kind), len(view.Items(kind)))
		}
	})
}

func TestViewLookups(t *testing.T) {
	view := seedView()
	account, ok := view.AccountByKey("k1")
	must.True(t, ok)
	must.Eq(t, "mill", account.GetName())
	_, ok = view.AccountByKey("k2")
	must.False(t, ok)
	_, ok = view.Version("m", "v1")
	must.True(t, ok)
	_, ok = view.Endpoint("none")
	must.False(t, ok)
}

func accountEntry(revision int64) Entry {
	v := &pb.ClientAccount{Name: fmt.Sprint("a", revision)}
	return Entry{Revision: revision, Kind: KindAccount, Name: v.Name, Value: v}
}

func TestStoreWatch(t *testing.T) {
	s := NewStore()
	for i := range int64(3) {
		s.Apply(accountEntry(i + 1))
		s.Apply(accountEntry(i + 1)) // a duplicate is skipped
	}
	next := int64(4)
	var seen []int64
	for e, err := range s.Watch(t.Context(), 1) {
		must.NoError(t, err)
		seen = append(seen, e.Revision)
		if next > 6 {
			break
		}
		s.Apply(accountEntry(next))
		next++
	}
	must.Eq(t, []int64{2, 3, 4, 5}, seen)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range s.Watch(ended, 6) {
		t.Fatal("watch after revision 6 yielded a change, but 6 is the newest")
	}
}

func TestStoreWatchSlow(t *testing.T) {
	s := NewStore()
	s.Apply(accountEntry(1))
	count, last := 0, error(nil)
	for _, err := range s.Watch(t.Context(), 0) {
		count, last = count+1, err
		if count == 1 {
			for i := range int64(maxHistory + 1) {
				s.Apply(accountEntry(i + 2))
			}
		}
	}
	must.Eq(t, 2, count)
	must.True(t, result.Is(last, result.WatchTooSlow))
	must.Len(t, maxHistory, s.history)
}

func TestStoreReset(t *testing.T) {
	s := NewStore()
	s.Reset(9, slices.Values([]Entry{accountEntry(3)}))
	s.Reset(8, slices.Values([]Entry{accountEntry(4)})) // older than the applied offset, so ignored
	must.Eq(t, 9, s.View().Applied())
	_, ok := s.View().Account("a3")
	must.True(t, ok)
	for _, err := range s.Watch(t.Context(), 8) {
		must.True(t, result.Is(err, result.WatchOffsetGone))
	}
}

// largeView returns a configuration with 1300 accounts and the given number of
// endpoints, the size that the system is designed for.
func largeView(endpoints int) *View {
	view := NewView()
	for i := range 1300 {
		name := fmt.Sprint("account", i)
		view = view.With(Entry{Kind: KindAccount, Name: name, Value: &pb.ClientAccount{Name: name, KeyHashes: []string{HashKey(name)}}})
	}
	for i := range endpoints {
		name := fmt.Sprint("endpoint", i)
		view = view.With(Entry{Kind: KindEndpoint, Name: name, Value: engine(name, fmt.Sprint("m", i%39), fmt.Sprint("m", (i+1)%39))})
	}
	return view
}

func BenchmarkWith(b *testing.B) {
	for _, endpoints := range []int{9, 100, 1000, 12000} {
		view := largeView(endpoints)
		account := Entry{Kind: KindAccount, Name: "account7", Value: &pb.ClientAccount{Name: "account7", KeyHashes: []string{HashKey("k")}}}
		moved := Entry{Kind: KindEndpoint, Name: "endpoint7", Value: engine("endpoint7", "m7", "m9")}
		for name, e := range map[string]Entry{"account": account, "endpoint": moved} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, endpoints), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					view.With(e)
				}
			})
		}
	}
}

func BenchmarkChange(b *testing.B) {
	view := largeView(12000).With(Entry{Kind: KindModel, Name: "m1", Value: &pb.Model{Name: "m1"}})
	for _, change := range []Value{
		engine("endpoint7", "m1"),
		&pb.ClientAccount{Name: "account7", KeyHashes: []string{HashKey("k1"), HashKey("k2")}},
	} {
		kind, name := KindOf(change), change.GetName()
		raw, err := Encode(change)
		must.NoError(b, err)
		b.Run(string(kind), func(b *testing.B) {
			for b.Loop() {
				v, err := Decode(kind, raw)
				must.NoError(b, err)
				must.NoError(b, CheckPut(view, v))
				view.With(Entry{Kind: kind, Name: name, Value: v})
			}
		})
	}
}

// TestListSize checks that a List response with 12,000 endpoints is far smaller than the
// limit of 32 MiB.
func TestListSize(t *testing.T) {
	const maxBytes = 8 << 20
	list := new(pb.ListResponse)
	for _, item := range largeView(12000).Items(KindEndpoint) {
		list.Objects = append(list.Objects, ToObject(item.Value, 1<<40))
	}
	raw, err := protojson.Marshal(list)
	must.NoError(t, err)
	must.Less(t, maxBytes, len(raw))
	t.Logf("12,000 endpoints: %d bytes of JSON, %d of protobuf", len(raw), proto.Size(list))
}

func TestWithAllocs(t *testing.T) {
	view := largeView(12000)
	e := Entry{Kind: KindEndpoint, Name: "endpoint7", Value: engine("endpoint7", "m7", "m9")}
	const maxAllocs = 30
	must.LessEq(t, maxAllocs, testing.AllocsPerRun(100, func() { view.With(e) }))
}

// TestAccountIDsAreNotReused checks that an account created under the name of a deleted
// one has a new id, and that an update keeps the id.
func TestAccountIDsAreNotReused(t *testing.T) {
	mill := &pb.ClientAccount{Name: "mill"}
	at := func(v *View, revision int64, value Value) *View {
		return v.With(Entry{Revision: revision, Kind: KindAccount, Name: "mill", Value: value})
	}
	first := at(NewView(), 1, mill)
	must.Eq(t, first.AccountID("mill"), at(first, 2, mill).AccountID("mill"))
	again := at(at(first, 3, nil), 4, mill)
	must.NotEq(t, first.AccountID("mill"), again.AccountID("mill"))
}
