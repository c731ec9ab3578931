package canary

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// Order is the operators' request to move a service to another release.
type Order struct {
	Service string
	Release string        // the release that is to get all requests
	Within  time.Duration // time to do so, from the order's acknowledgement
	ID      int64         // offset of the operators' record, which identifies the order
	ReadAt  time.Time     // when this node read the order
}

// Phase is how far an order has got.
type Phase int

// Phases of an order. Succeeded and RolledBack are final.
const (
	Trial Phase = iota
	Promoting
	Succeeded
	RolledBack
)

var phaseNames = [...]string{Trial: "trial", Promoting: "promoting", Succeeded: "succeeded", RolledBack: "rolled_back"}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the order has ended.
func (p Phase) Final() bool { return p == Succeeded || p == RolledBack }

// mayFollow reports whether an order may pass from a phase to this one.
func (p Phase) mayFollow(previous Phase) bool {
	return p > previous && !previous.Final() && (p != Succeeded || previous == Promoting)
}

// Status tells operators how far an order has got.
type Status struct {
	Service, Release string
	Phase            Phase
}

// keyPrefix is the prefix of the keys of orders' phases, which distinguishes them from node entries in
// the same topic. A service's name follows.
const keyPrefix = "canary/"

// IsRecord reports whether a key of the topic is that of an order's phase.
func IsRecord(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// record is the stored form of an order's phase.
type record struct {
	Order int64  `json:"order"`
	Phase string `json:"phase"`
	Node  string `json:"node,omitempty"` // who wrote it; information for operators
}

func encodeRecord(order int64, phase Phase, node string) ([]byte, error) {
	data, err := json.Marshal(record{Order: order, Phase: phase.String(), Node: node})
	return data, eris.Wrap(err, "encode the phase of a release order")
}

// decodeRecord decodes a record, which may come from another writer.
func decodeRecord(r *follow.Record) (service string, order int64, phase Phase, err error) {
	var stored record
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return "", 0, 0, eris.Wrap(err, "decode the phase of a release order")
	}
	phase, err = parsePhase(stored.Phase)
	return strings.TrimPrefix(r.Key, keyPrefix), stored.Order, phase, err
}

func parsePhase(name string) (Phase, error) {
	for phase, known := range phaseNames {
		if name == known {
			return Phase(phase), nil
		}
	}
	return 0, eris.Errorf("unknown phase %q of a release order", name)
}
