package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// violations checks the requests that servers ran against those that clients sent and the responses
// that they received, and returns the violated guarantees.
func (w *world) violations() []string {
	broken := w.observed.failures
	once := make(map[string]int)
	for i := range w.removed {
		broken = append(broken, w.ranAfterRemoval(i)...)
	}
	broken = append(broken, w.ranEvacuated()...)
	broken = append(broken, w.ignoredSignals()...)
	broken = append(broken, w.mixedReleases()...)
	broken = append(broken, w.tooFewResumed()...)
	broken = append(broken, w.leftOld()...)
	broken = append(broken, w.oldTooLong()...)
	broken = append(broken, w.servedTooLittle()...)
	for _, s := range w.servers() {
		for _, r := range s.Runs() {
			if why := w.violation(&r); why != "" {
				broken = append(broken, r.Request+" "+why)
			}
			if strings.HasPrefix(r.Target, site.PathUpload) || strings.HasPrefix(r.Target, site.PathSummary) {
				once[r.Request]++
			}
		}
	}
	broken = append(broken, w.sentAfterMaxCrashes()...)
	for id, n := range once {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return broken
}

// violation returns a description of the guarantee that a single run violates, or an empty string.
func (w *world) violation(r *modelserver.Run) string {
	sent, known := w.observed.sent[r.Request]
	gone, isGone := w.revoked[sent.key]
	switch {
	case !known:
		return "ran, but no client sent it"
	case r.Header.Get("X-Tenant") != site.Account || r.Header.Get("Authorization") != "":
		return "ran under another account, or with its key"
	case r.Method != sent.method || r.Target != sent.target || r.Body != sent.body:
		return fmt.Sprintf("ran as %s %s %q", r.Method, r.Target, r.Body)
	case isGone && sent.at.After(gone.Add(w.bounds.Revoke)):
		return "ran with a revoked key"
	case w.observed.refused[r.Request] && !strings.HasPrefix(r.Target, site.PathLookup):
		return "ran, but was rejected as not run"
	}
	if age := w.replacedFor(r, sent.node); age > w.bounds.Version {
		return fmt.Sprintf("ran on weights replaced %v earlier, sent by n%d at %v", age, sent.node, r.At.Format(time.StampMilli))
	}
	return ""
}

// connected reports whether a node had no disturbance between two times, nor the metadata store.
func (w *world) connected(node int, from, to time.Time) bool {
	return w.nodes[node].disturbances.noneWithin(from, to) && w.storeDisturbances.noneWithin(from, to)
}

// sentConnected reports whether a run was sent by a connected node while the metadata store was stable.
func (w *world) sentConnected(r *modelserver.Run) bool {
	return w.connected(w.observed.sent[r.Request].node, r.At.Add(-w.bounds.StableWindow), r.At)
}

// ranAfterRemoval returns the requests that a model server ran more than the drain bound after its
// removal, sent by a connected node while the metadata store was stable.
func (w *world) ranAfterRemoval(i int) []string {
	var broken []string
	for _, r := range w.site.Models[i].Runs() {
		if w.removed[i].covers(r.At.Add(-w.bounds.Drain), r.At) && w.sentConnected(&r) {
			broken = append(broken, fmt.Sprintf("%s ran at model-%d, which was removed more than %v earlier", r.Request, 1+i, w.bounds.Drain))
		}
	}
	return broken
}

// evacuatedZone returns the failure domain that operators evacuate, that of the last model server.
func (w *world) evacuatedZone() string { return w.site.Models[w.shape.servers-1].Zone() }

// ranEvacuated returns the requests that a server ran more than the evacuation bound after its failure
// domain was evacuated, sent by a connected node while the metadata store was stable.
func (w *world) ranEvacuated() []string {
	var broken []string
	for _, s := range w.site.Models {
		if s.Zone() != w.evacuatedZone() {
			continue
		}
		for _, r := range s.Runs() {
			if w.evacuated.covers(r.At.Add(-w.bounds.Evacuate), r.At) && w.sentConnected(&r) {
				broken = append(broken, fmt.Sprintf("%s ran in a failure domain that was evacuated for more than %v", r.Request, w.bounds.Evacuate))
			}
		}
	}
	return broken
}

// replacedFor returns the time since the weights of a run were replaced, counted while the metadata
// store was stable. It returns 0 if the weights were current or the node was not connected.
func (w *world) replacedFor(r *modelserver.Run, node int) time.Duration {
	if r.Header.Get("X-Model") == "" || !w.nodes[node].disturbances.noneWithin(r.At.Add(-w.bounds.StableWindow), r.At) {
		return 0
	}
	for _, newer := range w.versions {
		if newer.version <= r.Version {
			continue
		}
		since := newer.at
		if stable := w.storeDisturbances.lastEnd(r.At).Add(w.bounds.StableWindow); stable.After(since) {
			since = stable
		}
		return r.At.Sub(since)
	}
	return 0
}

// oldestWeights returns the maximum of replacedFor over all runs.
func (w *world) oldestWeights() time.Duration {
	var oldest time.Duration
	for _, s := range w.site.Models {
		for _, r := range s.Runs() {
			oldest = max(oldest, w.replacedFor(&r, w.observed.sent[r.Request].node))
		}
	}
	return oldest
}
