// Package bootstrap describes what a node in gateway mode is told when it
// starts: who it is, where it listens, what it may use, and the bounds that it
// must keep.
package bootstrap

import "time"

// Node is the start-up information of one node. It is never changed in place:
// a reload makes a new one.
type Node struct {
	Name   string
	Domain string // failure domain
	Region string
	IP     string

	CallersAddr string // where callers connect, IP:PORT
	ReadyAddr   string // where readiness is asked for, IP:PORT
	PeerPorts   [2]int // first and last port that nodes may use between them

	MemoryBytes int64 // the process is killed beyond it
	MaxFiles    int   // descriptors of the process
	// MilliCores is what the process may use of a processor, in thousandths of a core, and
	// LinkBytes what the host's link carries, in bytes a second; 0 if not said.
	MilliCores int
	LinkBytes  int

	// First is true where the whole system starts for the first time.
	First bool

	StoreAddr string // address of the metadata store, IP:PORT
	Bounds    Bounds
}

// Bounds are the operators' figures for what must hold.
type Bounds struct {
	// ConfigApply is the longest time from a configuration's acknowledgement
	// until requests are handled by it.
	ConfigApply time.Duration
	// Revoke is the longest time from the acknowledgement that a key was taken
	// away until no request with it runs.
	Revoke time.Duration
	// AcceptStaleKeys is true where Revoke does not bind a node that is cut off from the
	// store: it accepts the keys that it knows until the store is back.
	AcceptStaleKeys bool
	// Drain is the longest time from the acknowledgement that an endpoint
	// leaves until it gets no new request.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// StableWindow is how long a disruption excuses after it has ended.
	StableWindow time.Duration
	// RetryRatio and RetrySlack bound the repeats to a service in each
	// RetryWindow: RetryRatio times its requests, plus RetrySlack, over all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Lease is the time for which a holder of orders must be the only one.
	Lease time.Duration
	// VersionApplyLimit is the longest time from the acknowledgement of new weights
	// until no request begins on older ones.
	VersionApplyLimit time.Duration
	// Evacuate is the longest time from the acknowledgement that a failure domain is evacuated until
	// its endpoints get no more requests.
	Evacuate time.Duration
	// A cold endpoint gets at most ColdOverage times the requests that it stands in a second, plus
	// ColdTolerance, from all nodes together.
	ColdOverage, ColdTolerance float64
	// OrdersFenced is true where engines refuse an old fencing token.
	OrdersFenced bool
}
