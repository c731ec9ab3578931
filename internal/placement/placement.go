// Package placement selects the endpoint for a prompt, and decides whether to import kept context
// for it or to recompute.
//
// Every function is pure: it reads only its arguments, keeps no state, does no I/O and reads no
// clock. Estimates may be stale or wrong; this costs efficiency only, since the owner of the chosen
// endpoint decides on the grant, and the engine's response states what was cached. Calls can be
// repeated safely.
package placement

import (
	"errors"
	"time"
)

// ErrNoEndpoint means that no candidate accepts requests at present. The request did not run; a
// later retry is safe.
var ErrNoEndpoint = errors.New("placement: no endpoint in rotation")

// Objective weighs the terms that a placement minimizes; the unit of cost is the second. The zero
// Objective uses the time to first token only.
type Objective struct {
	FirstTokenSeconds float64 // cost of a second until the first token
	RecomputedToken   float64 // cost of a recomputed token beyond its own delay
	LinkMebibyte      float64 // cost of a mebibyte over a store's link
}

// Request is a prompt to place.
type Request struct {
	PromptTokens int           // estimated length of the prompt
	TimeLeft     time.Duration // until the caller's deadline; 0 for none
	Weights      Objective
}

// Status is the state of an estimate.
type Status uint8

// States of an estimate.
const (
	Known         Status = iota // received in time
	Late                        // not received in time, or the owner has too little data
	NotInRotation               // out of rotation: leaving, failing, or model not loaded
)

// EngineEstimate is an owner's estimate for one endpoint and one request. LastWait comes from earlier
// replies and is set even if Status is Late.
type EngineEstimate struct {
	Endpoint      string
	Owner         string // node that owns the endpoint
	FailureDomain string
	Status        Status

	Wait         time.Duration // until the run can start
	PrefillRate  float64       // learned speed, prompt tokens per second
	StepTime     time.Duration // learned time of one decode step
	CachedTokens int           // of this prompt, in the engine's memory
	Running      int           // runs currently granted
	Waiting      int           // requests queued at the owner

	ImportRate  float64 // current share of the engine's link, bytes per second
	Layout      string  // KV layout; blocks of other layouts can't be used
	BlockTokens int
	BlockBytes  int64

	LastWait time.Duration // wait by the load figures of earlier replies
}

// StoreEstimate is a store owner's estimate for one request.
type StoreEstimate struct {
	Store         string
	FailureDomain string
	Status        Status

	HeldTokens int           // of this prompt's prefix, in whole blocks
	Rate       float64       // current share of the store's link, bytes per second
	QueueDelay time.Duration // before an import would start
	Layout     string        // KV layout; blocks of other layouts can't be used
}

// Import is the part of a prompt's prefix to fetch from a store: whole blocks starting at
// FromToken. The zero Import fetches nothing.
type Import struct {
	Store     string
	FromToken int
	Tokens    int
	Bytes     int64
	Transfer  time.Duration // expected duration, including the delay before it starts
	// Patience is the timeout of the import: the duration at which recomputing the tokens would
	// have cost less.
	Patience time.Duration
}

// Choice is the result of a placement.
type Choice struct {
	Endpoint   string
	Owner      string
	Import     Import
	Cached     int           // tokens expected in the engine's memory
	Recompute  int           // prompt tokens left for the engine to compute
	Wait       time.Duration // until the run can start
	FirstToken time.Duration // expected time to first token
	Cost       float64       // by the request's Objective, seconds
	ByLoad     bool          // chosen by load only, without estimates
	Late       bool          // no candidate is expected to meet the deadline
	Candidates []Candidate   // every candidate in the given order, with its verdict
}

// Rand generates the random numbers for ties; *math/rand/v2.Rand implements it.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}
