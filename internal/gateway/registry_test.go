package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
)

// registered is a node's registry with the state that names the services.
type registered struct {
	*registry
	state  *state
	offset int64
}

func registryBounds() bootstrap.Bounds {
	return bootstrap.Bounds{Drain: 2 * time.Second, StableWindow: 3 * time.Second}
}

func newRegistered() *registered {
	s := newState(registryBounds, zerolog.Nop())
	r := &registered{registry: newRegistry(fleet.New(zerolog.Nop()), s.config.Load, registryBounds, s.rejected), state: s}
	s.configured = r.reconsider
	return r
}

// configure has a version of the configuration name the services.
func (r *registered) configure(t *testing.T, version int, services string) {
	t.Helper()
	value := fmt.Sprintf(`{"version":%d,"services":[%s]}`, version, services)
	r.state.Apply(follow.Batch{ProvenAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(value)}}})
	must.Eq(t, int64(version), r.state.config.Load().Version)
}

func (r *registered) put(key, value string) {
	r.offset++
	record := follow.Record{Key: key, Offset: r.offset}
	if value != "" {
		record.Value = []byte(value)
	}
	r.Apply(follow.Batch{Records: []follow.Record{record}, ProvenAt: time.Now()})
}

// ids returns the endpoints of a service that take requests.
func (r *registered) ids(service string) string {
	ids := ""
	for _, m := range r.fleet.Members(service) {
		ids += m.ID + " "
	}
	return ids
}

func entryOf(service, state, more string) string {
	return fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"north","version":"v1","slots":8,"state":%q,"cold-left-ms":0,"seq":1%s}`, service, state, more)
}

const (
	engines   = `{"name":"engines","engine":{"slots":8,"models":[{"name":"m"}]}}`
	plain     = `{"name":"plain"}`
	keptStore = `{"name":"keep","kv-store-addr":"10.0.0.9:80"}`
	models    = `,"models":[{"name":"m","version":1}]`
)

// TestUnnamedServices leaves endpoints of services out that the configuration doesn't name,
// whichever came first.
func TestUnnamedServices(t *testing.T) {
	r := newRegistered()
	r.put("e1", entryOf("engines", "ready", models))
	r.put("x1", entryOf("strangers", "ready", models))
	test.True(t, r.fleet.Empty(), test.Sprint("nothing is named yet"))
	r.configure(t, 1, engines+","+plain+","+keptStore)
	test.Eq(t, "e1 ", r.ids("engines"))
	test.Len(t, 1, r.fleet.All())

	r.put("e2", entryOf("engines", "ready", ""))
	r.put("e3", entryOf("engines", "ready", `,"models":[]`))
	r.put("p1", entryOf("plain", "ready", models))
	r.put("k1", entryOf("keep", "ready", models))
	test.Eq(t, "e1 ", r.ids("engines"), test.Sprint("an engine has models"))
	test.Eq(t, "p1 ", r.ids("plain"))
	test.Eq(t, 0, r.fleet.Members("plain")[0].VersionOf("m"), test.Sprint("it gets no orders"))
	test.Eq(t, "", r.ids("keep"), test.Sprint("a store registers nowhere"))

	r.configure(t, 2, engines+`,{"name":"strangers","engine":{"models":[{"name":"m"}]}}`)
	test.Eq(t, "x1 ", r.ids("strangers"))
	test.Eq(t, "", r.ids("plain"))
	r.put("x1", entryOf("elsewhere", "ready", models))
	test.Eq(t, "", r.ids("strangers"), test.Sprint("its newest entry names another service"))
	r.put("x1", "")
	r.configure(t, 3, engines+","+plain+`,{"name":"elsewhere","engine":{"models":[{"name":"m"}]}}`)
	test.Eq(t, "", r.ids("elsewhere"), test.Sprint("its entry was removed"))
	test.Eq(t, "p1 ", r.ids("plain"))
	r.put("p1", entryOf("engines", "ready", models))
	test.Eq(t, "", r.ids("plain"))
	test.Eq(t, "e1 p1 ", r.ids("engines"))
	test.Eq(t, 0, r.rejected.Load())
}

// TestUnreadableEntries has an entry that names no server take away what its key named, and
// no other; a heartbeat brings a living server back, unless it was draining.
func TestUnreadableEntries(t *testing.T) {
	for _, value := range []string{"\xff\xfe", "{", "{}", "null", entryOf("engines", "leaving", models), entryOf("", "ready", models)} {
		r := newRegistered()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2", "e3"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		r.put("e3", entryOf("engines", "draining", models))
		for _, id := range []string{"e1", "e3", "x", ""} {
			r.put(id, value)
		}
		test.Eq(t, 4, r.rejected.Load())
		test.Eq(t, "e2 ", r.ids("engines"))
		r.configure(t, 2, engines)
		test.Eq(t, "e2 ", r.ids("engines"))
		r.put("e1", entryOf("engines", "ready", models))
		r.put("e3", entryOf("engines", "ready", models))
		test.Eq(t, "e1 e2 ", r.ids("engines"), test.Sprint("e3 was seen draining"))
	}
}

// TestUnreadableAfterAnOutage holds entries that lapsed, and those alone.
func TestUnreadableAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistered()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		r.Apply(follow.Batch{Snapshot: true, Gap: lapseOutage + 1, Failed: true, Records: []follow.Record{{Key: "e1", Value: []byte("{")}}})
		test.Eq(t, "e2 ", r.ids("engines"))
		time.Sleep(lapseHold(registryBounds()))
		r.Apply(follow.Batch{})
		test.Eq(t, "", r.ids("engines"))
	})
}

// TestHoldsEndWithTheDoubt drops an endpoint that leaves while entries may only have lapsed by
// the drain bound, also where nothing is read any more.
func TestHoldsEndWithTheDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistered()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		returned := time.Now()
		r.Apply(follow.Batch{Gap: lapseOutage + 1, Failed: true, Records: []follow.Record{{Key: "e1"}}})
		time.Sleep(1700 * time.Millisecond)
		r.put("e2", "")
		test.Eq(t, "e1 e2 ", r.ids("engines"), test.Sprint("both may be back"))
		time.Sleep(time.Until(returned.Add(registryBounds().Drain)))
		test.Eq(t, "", r.ids("engines"))
	})
}

// TestLapseHold keeps within each bound.
func TestLapseHold(t *testing.T) {
	for _, tc := range []struct{ drain, stable, want time.Duration }{
		{2 * time.Second, 3 * time.Second, 1900 * time.Millisecond},
		{3 * time.Second, 4 * time.Second, entriesBack},
		{time.Second, 3 * time.Second, 900 * time.Millisecond},
		{3 * time.Second, 3 * time.Second, 1900 * time.Millisecond},
	} {
		test.Eq(t, tc.want, lapseHold(bootstrap.Bounds{Drain: tc.drain, StableWindow: tc.stable}))
	}
}

// TestStartInTheFuture has an entry that claims a start long ahead of the clock name no server, so
// that the server of its id is used again at its next heartbeat.
func TestStartInTheFuture(t *testing.T) {
	r := newRegistered()
	r.configure(t, 1, engines)
	born := func(at time.Time) string { return fmt.Sprintf(`%s,"born":%d`, models, at.UnixMilli()) }
	now := time.Now()
	r.put("e1", entryOf("engines", "ready", born(now)))
	r.put("e1", entryOf("engines", "ready", born(now.Add(time.Hour))))
	test.Eq(t, "", r.ids("engines"))
	r.put("e1", entryOf("engines", "ready", born(now)))
	test.Eq(t, "e1 ", r.ids("engines"))
	r.put("e2", entryOf("engines", "ready", born(now.Add(10*time.Second))))
	test.Eq(t, "e1 e2 ", r.ids("engines"), test.Sprint("clocks differ"))
}
