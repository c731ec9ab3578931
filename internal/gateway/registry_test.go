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

// registryFixture is a node's registry with the state that names the services.
type registryFixture struct {
	*registry
	state  *state
	offset int64
}

func registryBounds() bootstrap.Bounds {
	return bootstrap.Bounds{DrainLimit: 2 * time.Second, StableWindow: 3 * time.Second}
}

func newRegistryFixture() *registryFixture {
	s := newState(registryBounds, zerolog.Nop())
	r := &registryFixture{registry: newRegistry(fleet.New(zerolog.Nop()), s.config.Load, registryBounds, s.rejected), state: s}
	s.onConfig = r.reevaluate
	return r
}

// configure applies a version of the configuration that names the services.
func (r *registryFixture) configure(t *testing.T, version int, services string) {
	t.Helper()
	value := fmt.Sprintf(`{"version":%d,"services":[%s]}`, version, services)
	r.state.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(value)}}})
	must.Eq(t, int64(version), r.state.config.Load().Version)
}

// put applies a record; an empty value removes the entry.
func (r *registryFixture) put(key, value string) {
	r.offset++
	record := follow.Record{Key: key, Offset: r.offset}
	if value != "" {
		record.Value = []byte(value)
	}
	r.Apply(follow.Batch{Records: []follow.Record{record}, ConfirmedAt: time.Now()})
}

// ids returns the ids of a service's endpoints that accept requests, each followed by a space.
func (r *registryFixture) ids(service string) string {
	ids := ""
	for _, m := range r.fleet.Members(service) {
		ids += m.ID + " "
	}
	return ids
}

// entryOf returns an encoded endpoint entry. extraFields is inserted before its closing brace.
func entryOf(service, state, extraFields string) string {
	return fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"north","version":"v1","slots":8,"state":%q,"cold-left-ms":0,"seq":1%s}`, service, state, extraFields)
}

const (
	engines   = `{"name":"engines","engine":{"slots":8,"models":[{"name":"m"}]}}`
	plain     = `{"name":"plain"}`
	keptStore = `{"name":"keep","kv-store-addr":"10.0.0.9:80"}`
	models    = `,"models":[{"name":"m","version":1}]`
)

// TestUnconfiguredServices checks that endpoints of services that the configuration does not name
// are left out, whether the entry or the configuration arrived first.
func TestUnconfiguredServices(t *testing.T) {
	r := newRegistryFixture()
	r.put("e1", entryOf("engines", "ready", models))
	r.put("x1", entryOf("strangers", "ready", models))
	test.True(t, r.fleet.Empty(), test.Sprint("no configuration yet"))
	r.configure(t, 1, engines+","+plain+","+keptStore)
	test.Eq(t, "e1 ", r.ids("engines"))
	test.Len(t, 1, r.fleet.All())

	r.put("e2", entryOf("engines", "ready", ""))
	r.put("e3", entryOf("engines", "ready", `,"models":[]`))
	r.put("p1", entryOf("plain", "ready", models))
	r.put("k1", entryOf("keep", "ready", models))
	test.Eq(t, "e1 ", r.ids("engines"), test.Sprint("an engine has models"))
	test.Eq(t, "p1 ", r.ids("plain"))
	test.Eq(t, 0, r.fleet.Members("plain")[0].VersionOf("m"), test.Sprint("it must receive no orders"))
	test.Eq(t, "", r.ids("keep"), test.Sprint("stores do not register"))

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

// TestInvalidEndpointEntries checks that an invalid entry removes the endpoint of its key and no
// other. A heartbeat restores a live endpoint, unless it was draining.
func TestInvalidEndpointEntries(t *testing.T) {
	for _, value := range []string{"\xff\xfe", "{", "{}", "null", entryOf("engines", "leaving", models), entryOf("", "ready", models)} {
		r := newRegistryFixture()
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

// TestInvalidEntryAfterOutage checks that after an outage missing entries are held, but invalid
// ones are not.
func TestInvalidEntryAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		r.Apply(follow.Batch{Snapshot: true, Gap: minExpiryOutage + 1, Failed: true, Records: []follow.Record{{Key: "e1", Value: []byte("{")}}})
		test.Eq(t, "e2 ", r.ids("engines"))
		time.Sleep(expiryHold(registryBounds()))
		r.Apply(follow.Batch{})
		test.Eq(t, "", r.ids("engines"))
	})
}

// TestHoldsEndTogether checks that an endpoint that leaves while missing entries are held is
// removed within the drain bound, even if nothing is read afterwards.
func TestHoldsEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		returned := time.Now()
		r.Apply(follow.Batch{Gap: minExpiryOutage + 1, Failed: true, Records: []follow.Record{{Key: "e1"}}})
		time.Sleep(1700 * time.Millisecond)
		r.put("e2", "")
		test.Eq(t, "e1 e2 ", r.ids("engines"), test.Sprint("both entries may return"))
		time.Sleep(time.Until(returned.Add(registryBounds().DrainLimit)))
		test.Eq(t, "", r.ids("engines"))
	})
}

// TestExpiryHold checks that the hold respects each bound.
func TestExpiryHold(t *testing.T) {
	for _, tc := range []struct{ drain, stable, want time.Duration }{
		{2 * time.Second, 3 * time.Second, 1900 * time.Millisecond},
		{3 * time.Second, 4 * time.Second, reregistrationTime},
		{time.Second, 3 * time.Second, 900 * time.Millisecond},
		{3 * time.Second, 3 * time.Second, 1900 * time.Millisecond},
	} {
		test.Eq(t, tc.want, expiryHold(bootstrap.Bounds{DrainLimit: tc.drain, StableWindow: tc.stable}))
	}
}

// TestStartInTheFuture checks that an entry whose start time is far ahead of the clock is rejected,
// and that the server with its id is used again after its next heartbeat.
func TestStartInTheFuture(t *testing.T) {
	r := newRegistryFixture()
	r.configure(t, 1, engines)
	startedAt := func(at time.Time) string { return fmt.Sprintf(`%s,"born":%d`, models, at.UnixMilli()) }
	now := time.Now()
	r.put("e1", entryOf("engines", "ready", startedAt(now)))
	r.put("e1", entryOf("engines", "ready", startedAt(now.Add(time.Hour))))
	test.Eq(t, "", r.ids("engines"))
	r.put("e1", entryOf("engines", "ready", startedAt(now)))
	test.Eq(t, "e1 ", r.ids("engines"))
	r.put("e2", entryOf("engines", "ready", startedAt(now.Add(10*time.Second))))
	test.Eq(t, "e1 e2 ", r.ids("engines"), test.Sprint("clocks may differ by some seconds"))
}
