// Package peers carries JSON-RPC calls between nodes over TCP.
//
// Guarantee: before both ends of a connection have proved that they have the shared
// key, only the two handshake methods are served. The proof covers the node IDs and
// incarnations of both ends. Without TLS, messages after the handshake are not
// encrypted, and only the connection on which they arrive authenticates them.
//
// The error of a failed call shows whether the request may have reached the other
// node; see NotSentError. A call may be repeated only if its method allows it.
package peers

import "time"

// Identity identifies a node to its peers.
type Identity struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"` // random number generated at each start of the process
	Addr        string `json:"addr"`
}

const (
	dialTimeout = 2 * time.Second
	// handshakeTimeout is the timeout of the handshake at both ends.
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 2 * time.Minute
	sweepInterval    = 30 * time.Second
	// preAuthBytes is the maximum number of bytes that a client may send before its proof
	// is verified.
	preAuthBytes = 8 << 10
	// The backoff after failed accepts grows from acceptMinPause to acceptMaxPause.
	acceptMinPause    = 5 * time.Millisecond
	acceptMaxPause    = time.Second
	maxAcceptFailures = 24 // consecutive failures that are retried
)
