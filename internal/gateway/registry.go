package gateway

import (
	"bytes"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/platform"
)

const (
	// lapseOutage is the shortest outage of the registry during which entries may
	// have lapsed though their endpoints live: half of the three heartbeats after
	// which an entry is removed.
	lapseOutage = 1500 * time.Millisecond
	// entriesBack is how long after the registry's return living endpoints have put their
	// entries back: about 2 s, as the platform says.
	entriesBack = 2200 * time.Millisecond
	// mostAhead is how far a server's clock may be ahead of this host's. An entry of another
	// writer that claims a later start would shut the server of its id out for good.
	mostAhead = time.Minute
	// lapseMargin is taken off a bound for the time between the end of a hold and the arrival of
	// a request that was placed before.
	lapseMargin = 100 * time.Millisecond
)

// lapseHold returns how long after the return of the registry endpoints stay whose entries are
// missing. A request must not reach one that is gone later than the drain bound after this node
// could know it, nor once the outage excuses the node no more; the return may have been noticed a
// failed read late.
func lapseHold(b bootstrap.Bounds) time.Duration {
	return min(entriesBack, b.Drain-lapseMargin, b.StableWindow-storeRetryMost-lapseMargin)
}

// registry takes the endpoints' entries to the fleet.
//
// Guarantee: the fleet holds endpoints of services that the configuration names, and no
// others: an endpoint in the fleet gets requests and orders, and counts among those that
// load weights. Entries and configuration may come in any order.
type registry struct {
	fleet    *fleet.Fleet
	config   func() *routing.Config // nil before the first
	bounds   func() bootstrap.Bounds
	rejected *rejected
	clock    *clock.Clock // nil is the steady clock

	mu         sync.Mutex
	doubtUntil time.Time // entries that are missing until then may only have lapsed
	// entries are the newest readable ones, by id.
	entries map[string]entry
}

// entry is an endpoint's entry as it was read.
type entry struct {
	value    []byte
	endpoint *fleet.Endpoint
}

var _ follow.Sink = (*registry)(nil)

func newRegistry(f *fleet.Fleet, config func() *routing.Config, bounds func() bootstrap.Bounds, rejected *rejected) *registry {
	return &registry{fleet: f, config: config, bounds: bounds, rejected: rejected, entries: make(map[string]entry)}
}

// Apply implements follow.Sink.
func (r *registry) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if b.Failed && b.Gap > lapseOutage {
		r.doubt(now)
	}
	r.fleet.Together(func() { r.applyAll(&b, now) })
	// The doubt's timer may have run since now was taken, before what was found missing.
	r.fleet.Expire(r.clock.Now())
}

// applyAll takes the records of a batch.
func (r *registry) applyAll(b *follow.Batch, now time.Time) {
	present := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		record := &b.Records[i]
		present[record.Key] = record.Value != nil
		r.apply(record, now)
	}
	if b.Snapshot {
		r.retain(present)
		for _, id := range r.fleet.Missing(present) {
			r.remove(id, now)
		}
	}
}

// doubt has entries that are missing count as lapsed for a while. All holds end with it, by a
// timer: holds that are counted from when each entry was found missing, which may be at the end of
// the doubt, and that end with the next read, are longer than the drain bound.
func (r *registry) doubt(now time.Time) {
	hold := lapseHold(r.bounds())
	r.doubtUntil = now.Add(hold)
	time.AfterFunc(hold, func() { r.fleet.EndLapses(r.clock.Now()) })
}

// remove takes an endpoint off whose entry is missing.
func (r *registry) remove(id string, now time.Time) {
	if now.Before(r.doubtUntil) {
		r.fleet.Lapse(id, r.doubtUntil)
		return
	}
	r.fleet.Remove(id)
}

func (r *registry) apply(record *follow.Record, now time.Time) {
	if record.Value == nil {
		delete(r.entries, record.Key)
		r.remove(record.Key, now)
		return
	}
	e, err := r.decode(record)
	endpoint := e.endpoint
	if err == nil && endpoint.Born > now.Add(mostAhead).UnixMilli() {
		err = eris.Errorf("a start in the future: %d", endpoint.Born)
	}
	if err != nil {
		r.rejected.record(record, err)
		// The newest record of the key names no server. It is no lapse, so the endpoint is
		// not held; if it lives, its next heartbeat brings it back. That an id was seen
		// draining the fleet remembers, and requests under way go on.
		delete(r.entries, record.Key)
		r.fleet.Remove(record.Key)
		return
	}
	if r.fleet.Outdated(endpoint) {
		return // it arrived late, or isn't the endpoint's own
	}
	if before := r.entries[record.Key].endpoint; before != nil && before.Service != endpoint.Service {
		r.fleet.Remove(record.Key) // what was learned is of another service
	}
	r.entries[record.Key] = e
	r.use(endpoint, r.config(), now)
}

// decode decodes an entry. Most are heartbeats that say the same as the one before: decoded anew, those
// of thousands of endpoints take a good part of a small host's processor.
// A value is kept as a copy: the record's own is a part of all that was read with it.
func (r *registry) decode(record *follow.Record) (entry, error) {
	if known := r.entries[record.Key]; known.endpoint != nil && bytes.Equal(known.value, record.Value) {
		return known, nil
	}
	endpoint, err := platform.DecodeEndpoint(record.Key, record.Value)
	return entry{bytes.Clone(record.Value), endpoint}, err
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
	now := r.clock.Now()
	config := r.config()
	r.fleet.Together(func() {
		for _, e := range r.entries {
			r.use(e.endpoint, config, now)
		}
	})
}

// chill has the endpoints of a failure domain count as cold, as after they started: they may have
// turned cold while nothing was sent to them, without a new start and before an entry says so.
func (r *registry) chill(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	config := r.config()
	if config == nil {
		return
	}
	now := r.clock.Now()
	for _, m := range r.fleet.All() {
		service := config.Service(m.Service)
		if service != nil && m.Endpoint().Domain == domain {
			m.Chill(now.Add(service.ColdStart))
		}
	}
}

// use has the fleet hold an endpoint whose service is named, and no other.
func (r *registry) use(endpoint *fleet.Endpoint, config *routing.Config, now time.Time) {
	usable := served(endpoint, config)
	if usable == nil {
		r.fleet.Remove(endpoint.ID)
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
