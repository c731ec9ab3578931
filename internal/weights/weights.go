// Package weights brings the engines to the version of weights that the operators
// want, by orders from one node at a time.
//
// Guarantees: orders are given only under a claim, whose token the engines check;
// a node whose claim runs out, by its own monotonic clock, gives no more. Each
// order names the number of orders that the engine had taken, so that one which is
// carried out late, after another, is refused. That number begins anew with each start
// of an engine, so one may be taken after a restart: an engine that goes back to older
// weights is ordered again. An order whose answer is lost is looked into by a report
// before it is given again.
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

// Closed is an engine that is about to load.
type Closed struct {
	Endpoint string
	// Loads is true where the engine refuses requests now or very soon. Until then
	// it takes short ones.
	Loads bool
}

// Reply is an engine's answer to an order.
type Reply int

const (
	// Taken: the order is being carried out.
	Taken Reply = iota + 1
	// Holds: the engine already has what was ordered.
	Holds
	// Busy: another order is under way, or the number of orders was not the
	// expected one.
	Busy
	// Fenced: the engine saw a higher token. The claim is lost.
	Fenced
	// Gone: another endpoint has the address.
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
	Holder   string // the node that gives it
	Token    int64  // fencing token of the holder's claim
	Expected int64  // number of orders that the engine must have taken before
	// Continue lets the runs that have begun go on with the new weights. Without
	// it they are finished first.
	Continue bool
}

// Report is an engine's state.
type Report struct {
	Weights   []fleet.Weights
	StartedMs int64 // start of the engine, Unix milliseconds; 0 if not said
	Busy      bool  // an order is being carried out
	Orders    int64 // number of orders taken since the engine's start
	Running   int
	Waiting   int
}

// VersionOf returns the version of the model that the engine has, or 0.
func (r *Report) VersionOf(model string) int64 {
	e := fleet.Endpoint{Weights: r.Weights}
	return e.VersionOf(model)
}

// Engines makes calls to engines.
type Engines interface {
	// Report returns an engine's state, as of some hundred ms ago.
	Report(ctx context.Context, at *fleet.Endpoint) (Report, error)
	// Order gives an order. After an error the engine may have taken it, or may
	// take it later.
	Order(ctx context.Context, at *fleet.Endpoint, o Order) (Reply, error)
}

// Wanted tells what the operators want.
type Wanted interface {
	// Models returns the models of which a version was named.
	Models() []string
	// Wanted returns the wanted version of a model and a time at which it was not
	// named yet.
	Wanted(model string) (version int64, since time.Time)
}

// Behind returns the engines that lack the wanted version of the model, in the order in which
// they are brought to it: those with the oldest weights first, whose time for requests runs out
// soonest, and among equals in an order that all holders share.
func Behind(members []*fleet.Member, model string, version int64) []*fleet.Member {
	var list []*fleet.Member
	for _, m := range members {
		if lacks(m, model, version) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(a.VersionOf(model), b.VersionOf(model)), cmp.Compare(place(version, a.ID), place(version, b.ID)))
	})
	return list
}

// lacks reports whether an engine serves the model on older weights.
func lacks(m *fleet.Member, model string, version int64) bool {
	has := m.VersionOf(model)
	return has > 0 && has < version
}

// place is an engine's place in the order for a version.
func place(version int64, id string) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(version, 10) + "/" + id)
}
