package owner

import (
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

// Peer methods of endpoint owners.
const (
	MethodEstimate = "owner.estimate" // safe to repeat
	MethodGrant    = "owner.grant"    // waits for the grant up to GrantPoll; safe to repeat for the same grant
	MethodCancel   = "owner.cancel"   // safe to repeat
	MethodFirst    = "owner.first"    // safe to repeat
	MethodRelease  = "owner.release"  // safe to repeat
	MethodAdopt    = "owner.adopt"    // safe to repeat
)

// GrantPoll is the maximum duration of one grant call. The caller repeats the call
// until it gets a result. An owner that does not respond within twice this time
// is treated as unavailable.
const GrantPoll = time.Second

// Prompt describes a prompt to owners. It does not contain the text.
type Prompt struct {
	Account string        `json:"a"`
	Model   string        `json:"m"`
	Version string        `json:"v"`
	Adapter string        `json:"ad,omitempty"`
	Unit    kvcache.Unit  `json:"u,omitempty"`
	Size    int           `json:"s"` // in Unit
	Chain   kvcache.Chain `json:"c,omitempty"`
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration `json:"t"`
}

// Identity returns the identity from which the prompt's chain is computed.
func (p *Prompt) Identity() kvcache.Identity {
	return kvcache.Identity{Account: p.Account, Model: p.Model, Version: p.Version, Adapter: p.Adapter}
}

// EstimateRequest requests estimates for endpoints that a node owns.
type EstimateRequest struct {
	Prompt  Prompt   `json:"p"`
	Engines []string `json:"e,omitempty"`
	Stores  []string `json:"st,omitempty"`
	// Layouts are the known KV layouts of the candidate engines.
	Layouts []string `json:"l,omitempty"`
}

// EstimateResponse holds estimates for the requested endpoints. Endpoints without an
// estimate are omitted.
type EstimateResponse struct {
	PromptTokens int                        `json:"pt"` // estimated from the account's earlier prompts
	Engines      []placement.EngineEstimate `json:"e,omitempty"`
	Stores       []placement.StoreEstimate  `json:"st,omitempty"`
}

// GrantRequest requests permission to start a run on an engine.
type GrantRequest struct {
	Endpoint string           `json:"e"`
	Grant    string           `json:"g"` // unique id
	Class    int              `json:"cl"`
	Weight   float64          `json:"w"`
	Prompt   Prompt           `json:"p"`
	Tokens   int              `json:"n"` // expected number of prompt tokens
	Import   placement.Import `json:"i,omitzero"`
}

// GrantResponse reports a grant and the size of the import made for it.
type GrantResponse struct {
	Queued         bool  `json:"q,omitempty"` // not granted yet: repeat the request
	ImportedTokens int   `json:"it,omitempty"`
	ImportedBytes  int64 `json:"ib,omitempty"`
}

// CancelRequest cancels a request for a grant.
type CancelRequest struct {
	Endpoint string `json:"e"`
	Grant    string `json:"g"`
}

// FirstTokenRequest reports the first output token of a granted run. The engine is
// then ready for its next prefill.
type FirstTokenRequest struct {
	Endpoint     string `json:"e"`
	Grant        string `json:"g"`
	PromptTokens int    `json:"pt"`
	CachedTokens int    `json:"ct"`
}

// ReleaseRequest releases a grant and reports measurements of its run.
type ReleaseRequest struct {
	Endpoint     string             `json:"e"`
	Grant        string             `json:"g"`
	Outcome      uint8              `json:"o"`
	FirstToken   time.Duration      `json:"f,omitempty"`
	Total        time.Duration      `json:"t"`
	PromptTokens int                `json:"pt,omitempty"`
	CachedTokens int                `json:"ct,omitempty"`
	OutputTokens int                `json:"ot,omitempty"`
	Incarnation  string             `json:"i,omitempty"`
	Prompt       Prompt             `json:"p"`
	Blocks       []enginewire.Block `json:"b,omitempty"`
}

// ReleaseResponse reports the engine's current expected wait, for use by requests
// that are placed without an estimate.
type ReleaseResponse struct {
	Wait time.Duration `json:"w"`
}

// AdoptRequest reports active grants to a new owner.
type AdoptRequest struct {
	Endpoint string         `json:"e"`
	Grants   []AdoptedGrant `json:"g"`
}

// AdoptedGrant is an active grant of an entry node.
type AdoptedGrant struct {
	Grant    string        `json:"g"`
	Account  string        `json:"a"`
	Class    int           `json:"cl"`
	Weight   float64       `json:"w"`
	Model    string        `json:"m"`
	Tokens   int           `json:"n"`
	Age      time.Duration `json:"age"`
	TimeLeft time.Duration `json:"t"`
}

// None is an empty request or response.
type None struct{}
