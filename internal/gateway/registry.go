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
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/platform"
)

const (
	// minExpiryOutage is the shortest outage of the registry during which entries of live endpoints
	// may have expired: half of the three heartbeats after which an entry is removed.
	minExpiryOutage = 1500 * time.Millisecond
	// reregistrationTime is how long live endpoints take to restore their entries after the
	// registry is back: about 2 s according to the platform.
	reregistrationTime = 2200 * time.Millisecond
	// maxKeptBytes is the length up to which the encoded form of an entry is kept. Servers write a few hundred bytes.
	maxKeptBytes = 4 << 10
	// maxClockSkew is how far a server's clock may be ahead of this host's. Without this limit, a
	// faulty entry with a start time far in the future would make all later entries of the server
	// outdated.
	maxClockSkew = time.Minute
	// expiryHoldMargin is subtracted from a bound to cover the time between the end of a hold and
	// the arrival of a request that was placed before it.
	expiryHoldMargin = 100 * time.Millisecond
)

// expiryHold returns how long endpoints with missing entries are kept after the registry is back.
// Once an endpoint is gone, requests may reach it only within the drain bound, counted from the
// time at which this node could have read the removal, and not after the stable window that follows
// the outage. The node may notice the return of the registry one failed read late.
func expiryHold(b bootstrap.Bounds) time.Duration {
	return min(reregistrationTime, b.DrainLimit-expiryHoldMargin, b.StableWindow-maxStoreRetry-expiryHoldMargin)
}

// registry transfers the endpoints' entries to the fleet.
//
// Guarantee: the fleet contains exactly the endpoints of services that the configuration names, within
// the node's scope. An endpoint in the fleet receives requests and orders, and counts toward the endpoints that load
// weights. Entries and configuration may arrive in any order.
type registry struct {
	fleet    *fleet.Fleet
	config   func() *routing.Config // returns nil before the first configuration
	bounds   func() bootstrap.Bounds
	rejected *rejected
	clock    *clock.Clock // nil is the monotonic clock

	mu              sync.Mutex
	expiryHoldUntil time.Time // entries missing before this time may merely have expired
	// entries holds the newest valid entries in the scope by endpoint id.
	entries map[string]entry
	scope   scope
	// releases receives the releases of all valid entries, whatever the scope.
	releases *origin.Observer
	// records returns the newest records of all entries that exist, whatever the scope.
	records func() []follow.Record
}

// entry is an endpoint's entry with its encoded form, which is nil if it has more than maxKeptBytes: each heartbeat of
// such an entry is decoded.
type entry struct {
	value    []byte
	endpoint *fleet.Endpoint
}

var _ follow.Sink = (*registry)(nil)

func newRegistry(f *fleet.Fleet, config func() *routing.Config, bounds func() bootstrap.Bounds, rejected *rejected) *registry {
	return &registry{fleet: f, config: config, bounds: bounds, rejected: rejected, entries: make(map[string]entry), releases: origin.NewObserver()}
}

// Apply implements follow.Sink.
func (r *registry) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.releases.RecordRead(b.ConfirmedAt, b.Gap, now)
	if b.Restored || b.Failed && b.Gap > minExpiryOutage {
		r.beginExpiryHold(now)
	}
	r.fleet.UpdateBatch(func() {
		if b.Snapshot {
			r.listAll(b.Records, now)
		}
		r.applyRecords(&b, now)
		if r.scope.update() {
			r.rescope(r.records())
		}
	})
	// The timer that ends the hold may have fired after now was read and before the missing entries
	// were found.
	r.fleet.Expire(r.clock.Now())
}

// listAll decides the scope by the entries of a snapshot before any is applied: what is kept of an endpoint
// takes several times the memory of its entry, which a node of a large system would need for all of them.
func (r *registry) listAll(records []follow.Record, now time.Time) {
	for i := range records {
		if records[i].Value == nil {
			continue
		}
		if e, err := r.decodeStarted(&records[i], now); err == nil {
			r.scope.list(e.endpoint)
		}
	}
	r.scope.update()
}

// applyRecords applies the records of a batch.
func (r *registry) applyRecords(b *follow.Batch, now time.Time) {
	present := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		record := &b.Records[i]
		present[record.Key] = record.Value != nil
		r.apply(record, now)
	}
	if b.Snapshot {
		r.retain(present, now)
		for _, id := range r.fleet.Missing(present) {
			r.remove(id, now)
		}
	}
}

// beginExpiryHold starts a period in which missing entries count as expired rather than removed. A
// timer ends the hold of all of them together. If each hold started when its entry was found
// missing, possibly near the end of the period, and ended at the next read, it would exceed the
// drain bound.
func (r *registry) beginExpiryHold(now time.Time) {
	hold := expiryHold(r.bounds())
	r.expiryHoldUntil = now.Add(hold)
	time.AfterFunc(hold, func() { r.fleet.EndLapses(r.clock.Now()) })
}

// remove removes an endpoint whose entry is missing, or holds it if the entry may merely have
// expired.
func (r *registry) remove(id string, now time.Time) {
	if now.Before(r.expiryHoldUntil) {
		r.fleet.Lapse(id, r.expiryHoldUntil)
		return
	}
	r.fleet.Remove(id)
}

func (r *registry) apply(record *follow.Record, now time.Time) {
	if record.Value == nil {
		delete(r.entries, record.Key)
		r.unlist(record.Key, now)
		r.remove(record.Key, now)
		return
	}
	e, err := r.decodeStarted(record, now)
	endpoint := e.endpoint
	if err != nil {
		r.rejected.record(record, err)
		// The newest record of the key is invalid. This is not an expiry, so the endpoint is not
		// held; if it is alive, its next heartbeat restores it. The fleet keeps the record that the
		// id was draining, and requests in progress continue.
		delete(r.entries, record.Key)
		r.unlist(record.Key, now)
		r.fleet.Remove(record.Key)
		return
	}
	if r.fleet.Outdated(endpoint) {
		return // it arrived late, or another writer wrote it
	}
	r.scope.list(endpoint)
	r.releases.Set(endpoint.ID, origin.Origin{Service: endpoint.Service, Release: endpoint.Release}, now)
	if !r.scope.follows(endpoint) {
		delete(r.entries, record.Key)
		r.fleet.Remove(record.Key)
		return
	}
	if before := r.entries[record.Key].endpoint; before != nil && before.Service != endpoint.Service {
		r.fleet.Remove(record.Key) // the recorded state belongs to another service
	}
	r.entries[record.Key] = e
	r.syncEndpoint(endpoint, r.config(), now)
}

// decode decodes an entry. Most entries are heartbeats that repeat the previous one, which are not
// decoded again: for thousands of endpoints, decoding takes a considerable part of a small host's
// processor. The value is copied, since the record's own value is a slice of the whole response.
func (r *registry) decode(record *follow.Record) (entry, error) {
	if previous := r.entries[record.Key]; previous.endpoint != nil && platform.IsHeartbeat(previous.value, record.Value) {
		return previous, nil
	}
	endpoint, err := platform.DecodeEndpoint(record.Key, record.Value)
	if len(record.Value) > maxKeptBytes {
		return entry{nil, endpoint}, err
	}
	return entry{bytes.Clone(record.Value), endpoint}, err
}

// decodeStarted decodes an entry. It fails if the endpoint's start time is in the future.
func (r *registry) decodeStarted(record *follow.Record, now time.Time) (entry, error) {
	e, err := r.decode(record)
	if err == nil && e.endpoint.StartedMs > now.Add(maxClockSkew).UnixMilli() {
		err = eris.Errorf("start time of endpoint is in the future: %d ms", e.endpoint.StartedMs)
	}
	return e, err
}

// retain deletes the entries that are not present.
func (r *registry) retain(present map[string]bool, now time.Time) {
	for id := range r.entries {
		if !present[id] {
			delete(r.entries, id)
		}
	}
	for id := range r.scope.listed {
		if !present[id] {
			r.unlist(id, now)
		}
	}
}

// unlist records that an entry is gone or invalid.
func (r *registry) unlist(id string, now time.Time) {
	r.scope.unlist(id)
	r.releases.Remove(id, now)
}

// reevaluate adds the endpoints of services that the configuration now names, and removes those of
// services that it no longer names.
func (r *registry) reevaluate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	config := r.config()
	r.fleet.UpdateBatch(func() {
		for _, e := range r.entries {
			r.syncEndpoint(e.endpoint, config, now)
		}
	})
}

// markDomainCold marks the endpoints of a failure domain as cold, as after a start. They may have
// become cold while they received no requests, without a restart and before an entry reports it.
func (r *registry) markDomainCold(domain string) {
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
			m.MarkCold(now.Add(service.ColdStart))
		}
	}
}

// syncEndpoint updates the fleet's endpoint, or removes it if the configuration does not let it
// serve.
func (r *registry) syncEndpoint(endpoint *fleet.Endpoint, config *routing.Config, now time.Time) {
	usable := servable(endpoint, config)
	if usable == nil {
		r.fleet.Remove(endpoint.ID)
		return
	}
	r.fleet.Update(usable, now)
}

// servable returns an endpoint as its service's configuration lets it serve. It returns nil if the
// service is not configured, is a store (stores do not register), or is an engine service and the
// endpoint has no model. The weights of an endpoint of a plain service are removed, whatever its
// entry contains, so that it receives no orders.
func servable(endpoint *fleet.Endpoint, config *routing.Config) *fleet.Endpoint {
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
