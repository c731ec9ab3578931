// Package weights updates engines to the weight version that the operators have
// requested. One node at a time orders the engines to load it.
//
// Guarantees: orders are sent only under a claim, whose fencing token the engines
// check. A node whose claim has expired by its own monotonic clock sends no more
// orders. Each order contains the number of orders that the engine is expected to
// have accepted before, so an engine rejects an order that is delayed and arrives
// after another one. Engines count from 0 again after a restart and may then accept a
// delayed order; an engine that returns to older weights this way gets a new order.
// If the response to an order is lost, the engine's report is checked before the
// order is repeated.
package weights

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/fleet"
)

// Closed is an engine that will load new weights or is loading them.
type Closed struct {
	Endpoint string
	// Loads is true if the engine rejects requests now or very soon. Until then it
	// accepts requests for short runs.
	Loads bool
}

// Reply is an engine's response to an order.
type Reply int

const (
	// Taken means that the engine accepted the order and is executing it.
	Taken Reply = iota + 1
	// Holds means that the engine already has the ordered version.
	Holds
	// Busy means that another order is in progress, or that Order.Expected does not
	// match the number of orders accepted.
	Busy
	// Fenced means that the engine has received a higher token, so the claim is lost.
	Fenced
	// Gone means that the engine's address now belongs to another endpoint.
	Gone
)

// String implements fmt.Stringer.
func (r Reply) String() string {
	names := [...]string{Taken: "taken", Holds: "holds", Busy: "busy", Fenced: "fenced", Gone: "gone"}
	if r < Taken || r > Gone {
		return "none"
	}
	return names[r]
}

// Order asks an engine to load a version of a model's weights.
type Order struct {
	Model    string
	Version  int64
	Holder   string // node that sends the order
	Token    int64  // fencing token of the holder's claim
	Expected int64  // number of orders that the engine must have accepted before this one
	// Continue lets active runs continue with the new weights. Otherwise the engine
	// finishes them before it loads.
	Continue bool
}

// Report is an engine's state.
type Report struct {
	Weights   []fleet.Weights
	StartedMs int64 // start time of the engine, Unix milliseconds; 0 if not reported
	Busy      bool  // an order is in progress
	Orders    int64 // number of orders accepted since the engine's start
	Running   int
	Waiting   int
}

// VersionOf returns the version of the model that the engine has, or 0 if it has
// none.
func (r *Report) VersionOf(model string) int64 {
	e := fleet.Endpoint{Weights: r.Weights}
	return e.VersionOf(model)
}

// Engines sends calls to engines.
type Engines interface {
	// Report returns an engine's state. It may be a few hundred ms old.
	Report(ctx context.Context, at *fleet.Endpoint) (Report, error)
	// Order sends an order. After an error the engine may have accepted the order or
	// may still accept it later.
	Order(ctx context.Context, at *fleet.Endpoint, o Order) (Reply, error)
}

// Wanted provides the versions that the operators have requested.
type Wanted interface {
	// Models returns the models for which a version was requested.
	Models() []string
	// Wanted returns the requested version of a model and a lower bound of the time
	// at which it was requested.
	Wanted(model string) (version int64, since time.Time)
}

// Outdated returns the engines that have an older version of the model, in the order in which they
// are updated. Engines with the oldest weights come first, because the time during which they can
// serve requests ends first. Engines with equal versions are sorted by a hash, so that all claim
// holders use the same order.
func Outdated(members []*fleet.Member, model string, version int64) []*fleet.Member {
	var list []*fleet.Member
	for _, m := range members {
		if isOutdated(m, model, version) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(a.VersionOf(model), b.VersionOf(model)), cmp.Compare(updateOrderKey(version, a.ID), updateOrderKey(version, b.ID)))
	})
	return list
}

// isOutdated reports whether an engine has the model in a version older than version.
func isOutdated(m *fleet.Member, model string, version int64) bool {
	has := knownVersion(m, model)
	return has > 0 && has < version
}

// knownVersion returns the version of the model that an engine has as far as known, or 0 if it does not serve the
// model. While this node knows only that the engine does not have the version of its entry, the entry decides:
// reports then tell whether an order is needed.
func knownVersion(m *fleet.Member, model string) int64 {
	if version := m.VersionOf(model); version > 0 {
		return version
	}
	return m.Endpoint().VersionOf(model)
}

// updateOrderKey returns the sort key of an engine among those with the same version.
func updateOrderKey(version int64, id string) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(version, 10) + "/" + id)
}
