package gateway

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/platform"
)

// lapseOutage is the shortest outage of the registry during which entries may
// have lapsed though their endpoints live: half of the three heartbeats after
// which an entry is removed.
const lapseOutage = 1500 * time.Millisecond

// registry takes the endpoints' entries to the fleet.
//
// Guarantee: the fleet holds endpoints of services that the configuration names, and no
// others: an endpoint in the fleet gets requests and orders, and counts among those that
// load weights. Entries and configuration may come in any order.
type registry struct {
	fleet    *fleet.Fleet
	config   func() *routing.Config // nil before the first
	rejected *rejected

	mu         sync.Mutex
	doubtUntil time.Time // entries that are missing until then may only have lapsed
	// entries are the newest readable ones, by id.
	entries map[string]*fleet.Endpoint
}

var _ follow.Sink = (*registry)(nil)

func newRegistry(f *fleet.Fleet, config func() *routing.Config, rejected *rejected) *registry {
	return &registry{fleet: f, config: config, rejected: rejected, entries: make(map[string]*fleet.Endpoint)}
}

// Apply implements follow.Sink.
func (r *registry) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if b.Gap > lapseOutage {
		r.doubtUntil = now.Add(fleet.LapseHold)
	}
	lapsed := now.Before(r.doubtUntil)
	present := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		record := &b.Records[i]
		present[record.Key] = record.Value != nil
		r.apply(record, lapsed, now)
	}
	if b.Snapshot {
		r.retain(present)
		r.fleet.Retain(present, lapsed, now)
	}
	r.fleet.Expire(now)
}

func (r *registry) apply(record *follow.Record, lapsed bool, now time.Time) {
	if record.Value == nil {
		delete(r.entries, record.Key)
		r.fleet.Remove(record.Key, lapsed, now)
		return
	}
	endpoint, err := platform.DecodeEndpoint(record.Key, record.Value)
	if err != nil {
		r.rejected.record(record, err)
		// The newest record of the key names no server. It is no lapse, so the endpoint is
		// not held; if it lives, its next heartbeat brings it back. That an id was seen
		// draining the fleet remembers, and requests under way go on.
		delete(r.entries, record.Key)
		r.fleet.Remove(record.Key, false, now)
		return
	}
	if before := r.entries[record.Key]; before != nil && before.Service != endpoint.Service {
		r.fleet.Remove(record.Key, false, now) // what was learned is of another service
	}
	r.entries[record.Key] = endpoint
	r.use(endpoint, r.config(), now)
}

// retain forgets the entries that are not present.
func (r *registry) retain(present map[string]bool) {
	for id := range r.entries {
		if !present[id] {
			delete(r.entries, id)
		}
	}
}

// reconsider takes up the endpoints of services that the configuration names now, and drops
// those of services that it doesn't name any more.
func (r *registry) reconsider() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	config := r.config()
	for _, endpoint := range r.entries {
		r.use(endpoint, config, now)
	}
}

// use has the fleet hold an endpoint whose service is named, and no other.
func (r *registry) use(endpoint *fleet.Endpoint, config *routing.Config, now time.Time) {
	usable := served(endpoint, config)
	if usable == nil {
		r.fleet.Remove(endpoint.ID, false, now)
		return
	}
	r.fleet.Update(usable, now)
}

// served returns an endpoint as its service's configuration lets it serve, and nil where it
// can't: its service is not named or is a store, which registers nowhere, or it serves a
// service of engines without a model. An endpoint of a plain service has no weights,
// whatever its entry says, so that it gets no orders.
func served(endpoint *fleet.Endpoint, config *routing.Config) *fleet.Endpoint {
	if config == nil {
		return nil
	}
	service := config.Service(endpoint.Service)
	switch {
	case service == nil || service.Store != nil:
		return nil
	case service.Engine != nil && len(endpoint.Weights) == 0:
		return nil
	case service.Engine == nil && len(endpoint.Weights) > 0:
		plain := *endpoint
		plain.Weights = nil
		return &plain
	}
	return endpoint
}
