package member

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzHandleExchange passes arbitrary messages from a peer to a list. The list
// must not panic, exceed its limit on members, send oversized responses or
// violate its invariants.
func FuzzHandleExchange(f *testing.F) {
	flood := &Message{From: Entry{ID: "peer", Addr: "a:1", Incarnation: 1}}
	for i := range 200 {
		flood.Entries = append(flood.Entries, Entry{ID: fmt.Sprint(i), Addr: "a:1", Incarnation: 1})
	}
	seed, err := json.Marshal(flood)
	must.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if json.Unmarshal(b, &m) != nil {
			return
		}
		s := newSim(3, 1)
		l, err := New(Config{Self: s.nodes[0].entry, Seed: 1})
		must.NoError(t, err)
		l.SetRoster(s.roster())
		for range 3 {
			resp := l.HandleExchange(&m)
			must.LessEq(t, maxEntries, len(resp.Entries))
			_, err := json.Marshal(resp)
			must.NoError(t, err)
		}
		v := l.View()
		must.LessEq(t, 3+unlistedBase, len(v.Members))
		self, ok := v.Lookup(s.nodes[0].entry.ID)
		must.True(t, ok)
		must.True(t, self.State == Alive || self.State == Leaving)
		var digest uint32
		for _, r := range l.core.records {
			must.Eq(t, r.computeDigest(), r.digest)
			digest ^= r.digest
		}
		must.Eq(t, digest, l.core.digest)
	})
}
