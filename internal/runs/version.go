package runs

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
)

const (
	// maxVersionSwitches bounds how often one request is switched to another version.
	maxVersionSwitches = 3
	// prefixBytes and prefixTokens are the lengths of the prompt prefix that identifies a conversation
	// when a version is selected.
	prefixBytes  = 1024
	prefixTokens = 256
)

// VersionSelector selects the weight version of a request.
type VersionSelector interface {
	// Reselect selects another version after no engine accepted the request on the versions in
	// refused. fraction is the request's VersionDraw, in [0, 1). ok is false if there is no other
	// version.
	Reselect(ctx context.Context, model string, refused []string, fraction float64) (version string, ok bool)
}

// SetVersion sets the weight version that serves the request, and the chain that depends on it.
func (r *Request) SetVersion(version string) {
	r.Version = version
	id := kvcache.Identity{Account: r.Account, Model: r.Model, Version: version, Adapter: r.Adapter}
	if r.PromptIDs != nil {
		r.Chain = id.TokenChain(r.PromptIDs)
		return
	}
	r.Chain = id.TextChain(r.Prompt)
}

// VersionDraw returns a number in [0, 1) that is the same for all requests of an account whose prompts
// begin with the same prefix.
func (r *Request) VersionDraw() float64 {
	h := sha256.New()
	h.Write([]byte(r.Account + "\x00" + r.Prompt[:min(len(r.Prompt), prefixBytes)]))
	ids, _ := json.Marshal(r.PromptIDs[:min(len(r.PromptIDs), prefixTokens)]) // numbers always encode
	h.Write(ids)
	return float64(binary.BigEndian.Uint64(h.Sum(nil))>>11) / math.Exp2(53)
}

// switchVersion switches a request to another version if no engine accepted it on its current
// version, and reports whether it did. This uses no retry budget, since the request has not run.
func (d *Dispatcher) switchVersion(ctx context.Context, p *progress, err error) bool {
	e := result.From(err)
	notAccepted := e.Code == result.NoEndpoint || e.Code == result.EndpointRejected
	if !notAccepted || e.RunState != result.NotRun || p.mayHaveRun || ctx.Err() != nil {
		return false
	}
	if d.VersionSelector == nil || len(p.refusedVersions) == maxVersionSwitches {
		return false
	}
	p.refusedVersions = append(p.refusedVersions, p.req.Version)
	version, ok := d.VersionSelector.Reselect(ctx, p.req.Model, p.refusedVersions, p.req.VersionDraw())
	if !ok {
		return false
	}
	p.req.SetVersion(version)
	p.tried = nil
	return true
}
