// Package bootstrap defines the start-up information of a node in gateway mode: its
// identity, its addresses, its resource limits and the bounds that it must meet.
package bootstrap

import (
	"time"

	"github.com/cherryward/cherryward/internal/residency"
)

// Node is the start-up information of one node. It is immutable: a reload creates a
// new Node.
type Node struct {
	Name   string
	Domain string // failure domain
	Region string
	// Regions holds the region of each failure domain; empty if none is specified.
	Regions residency.Map
	IP      string

	CallersAddr string // address that callers connect to, IP:PORT
	ReadyAddr   string // address of the readiness endpoint, IP:PORT
	PeerPorts   [2]int // first and last port that nodes may use for traffic between nodes

	MemoryBytes int64 // memory limit; a process that exceeds it is killed
	MaxFiles    int   // maximum number of open file descriptors of the process
	// MilliCores is the CPU limit of the process in thousandths of a core, and LinkBytes
	// the bandwidth of the host's network link in bytes per second; 0 if not specified.
	MilliCores int
	LinkBytes  int

	// FirstStart reports whether this is the first start of the whole system.
	FirstStart bool

	StoreAddr string // address of the metadata store, IP:PORT
	Bounds    Bounds
}

// Bounds holds the limits and options set by the operators that the system must observe.
type Bounds struct {
	// ConfigApplyLimit is the maximum time from the acknowledgement of a configuration until
	// all requests are handled according to it.
	ConfigApplyLimit time.Duration
	// RevokeLimit is the maximum time from the acknowledgement of a key's revocation until no
	// request authenticated with the key is running.
	RevokeLimit time.Duration
	// AcceptStaleKeys exempts a node that can't reach the metadata store from RevokeLimit: it
	// accepts the keys it has cached until the store is reachable again.
	AcceptStaleKeys bool
	// DrainLimit is the maximum time from the acknowledgement that an endpoint is being
	// removed until no new request is sent to it.
	DrainLimit time.Duration
	// StopGracePeriod is the time between SIGTERM and SIGKILL.
	StopGracePeriod time.Duration
	// StableWindow is the time after the end of a disruption during which violations of
	// the bounds are tolerated.
	StableWindow time.Duration
	// RetryRatio and RetrySlack limit the retries to a service in each RetryWindow, over
	// all nodes, to RetryRatio times its requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Lease is the time for which a node that holds the order lease must be the only one
	// to order endpoints to load weights.
	Lease time.Duration
	// VersionApplyLimit is the maximum time from the acknowledgement of new weights until
	// no request starts on older weights.
	VersionApplyLimit time.Duration
	// EvacuateLimit is the maximum time from the acknowledgement that a failure domain is to be
	// evacuated until no request is sent to its endpoints.
	EvacuateLimit time.Duration
	// ColdOverage and ColdTolerance limit the requests that all nodes together send in a
	// second to a cold endpoint, one that started recently, to ColdOverage times its
	// capacity plus ColdTolerance.
	ColdOverage, ColdTolerance float64
	// ExposureShare is the maximum share of a service's requests that all nodes together send to a
	// release on trial; 0 if not specified.
	ExposureShare float64
	// OrdersFenced reports whether engines reject outdated fencing tokens.
	OrdersFenced bool
}
