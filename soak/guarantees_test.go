package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// The bounds of the site's boot files.
const (
	drainBound   = 2 * time.Second
	revokeBound  = 5 * time.Second
	versionBound = 12 * time.Second
	// evacuateBound is the same for evacuations.
	evacuateBound = 5 * time.Second
	stableWindow  = 3 * time.Second
)

// brokenPromises compares what servers ran with what clients sent and were told.
func (w *world) brokenPromises() []string {
	broken := w.seen.failures
	once := make(map[string]int)
	for i := range w.away {
		broken = append(broken, w.ranAway(i)...)
	}
	broken = append(broken, w.ranEvacuated()...)
	broken = append(broken, w.unheeded()...)
	for _, s := range w.servers() {
		for _, r := range s.Runs() {
			if why := w.brokenBy(&r); why != "" {
				broken = append(broken, r.Request+" "+why)
			}
			if strings.HasPrefix(r.Target, site.PathUpload) || strings.HasPrefix(r.Target, site.PathSummary) {
				once[r.Request]++
			}
		}
	}
	broken = append(broken, w.sentAfterThreeEndings()...)
	for id, n := range once {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return broken
}

// brokenBy says which promise a run breaks by itself, if any.
func (w *world) brokenBy(r *modelserver.Run) string {
	sent, known := w.seen.sent[r.Request]
	gone, isGone := w.revoked[sent.key]
	switch {
	case !known:
		return "ran, and no client sent it"
	case r.Header.Get("X-Tenant") != site.Account || r.Header.Get("Authorization") != "":
		return "ran under another account, or with its key"
	case r.Method != sent.method || r.Target != sent.target || r.Body != sent.body:
		return fmt.Sprintf("ran as %s %s %q", r.Method, r.Target, r.Body)
	case isGone && sent.at.After(gone.Add(revokeBound)):
		return "ran with a key that was taken away"
	case w.seen.refused[r.Request] && !strings.HasPrefix(r.Target, site.PathLookup):
		return "ran, and its client was told that it did not"
	}
	if age := w.replacedFor(r, sent.node); age > versionBound {
		return fmt.Sprintf("ran on weights that were replaced %v before, by way of n%d at %v", age, sent.node, r.At.Format(time.StampMilli))
	}
	return ""
}

// ranAway returns the requests that a model server ran after it had been gone for longer
// than the drain bound, sent on by a node in touch while the metadata store was stable.
func (w *world) ranAway(i int) []string {
	var broken []string
	for _, r := range w.site.Models[i].Runs() {
		calm := r.At.Add(-stableWindow)
		node := w.nodes[w.seen.sent[r.Request].node]
		if w.away[i].covers(r.At.Add(-drainBound), r.At) && w.core.calm(calm, r.At) && node.harmed.calm(calm, r.At) {
			broken = append(broken, fmt.Sprintf("%s ran at model-%d, which had left %v before", r.Request, 1+i, drainBound))
		}
	}
	return broken
}

// ranEvacuated returns the requests that a server of an evacuated failure domain ran later than the bound
// allows, sent on by a node in touch while the metadata store was stable.
func (w *world) ranEvacuated() []string {
	var broken []string
	for _, r := range w.site.Models[len(w.site.Models)-1].Runs() {
		calm := r.At.Add(-stableWindow)
		node := w.nodes[w.seen.sent[r.Request].node]
		if w.evacuated.covers(r.At.Add(-evacuateBound), r.At) && w.core.calm(calm, r.At) && node.harmed.calm(calm, r.At) {
			broken = append(broken, fmt.Sprintf("%s ran in a failure domain that had been evacuated for %v", r.Request, evacuateBound))
		}
	}
	return broken
}

// replacedFor returns for how long the weights of a run had been replaced, counted while
// the metadata store was stable, where the node that sent it on was in touch.
func (w *world) replacedFor(r *modelserver.Run, node int) time.Duration {
	if r.Header.Get("X-Model") == "" || !w.nodes[node].harmed.calm(r.At.Add(-stableWindow), r.At) {
		return 0
	}
	for _, newer := range w.named {
		if newer.version <= r.Version {
			continue
		}
		since := newer.at
		if stable := w.core.lastEnd(r.At).Add(stableWindow); stable.After(since) {
			since = stable
		}
		return r.At.Sub(since)
	}
	return 0
}

// oldestWeights returns the greatest time for which the weights of a run had been replaced.
func (w *world) oldestWeights() time.Duration {
	var oldest time.Duration
	for _, s := range w.site.Models {
		for _, r := range s.Runs() {
			oldest = max(oldest, w.replacedFor(&r, w.seen.sent[r.Request].node))
		}
	}
	return oldest
}
