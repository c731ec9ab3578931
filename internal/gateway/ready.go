package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const (
	// readyShare is the fraction of the revocation bound up to which a node with an aging
	// configuration counts as ready. Callers should be sent to other nodes before this one has to
	// reject their keys.
	readyShare = 0.5
	// readyMargin is added to two waits of a read, the configuration's age in normal operation, to
	// give the age up to which a node always counts as ready.
	readyMargin = 500 * time.Millisecond

	// maxRecordWait is how long after its start a node waits for the records of releases before it counts as ready:
	// requests other than streams need none.
	maxRecordWait = 8 * time.Second

	pathReady   = "/-/readyz"
	pathMetrics = "/metrics"
	// pathEndpoints lists the endpoints to which requests are restricted, in JSON.
	pathEndpoints = "/endpoints"
)

// ready reports whether this node can serve callers well: it has a current configuration and at
// least one endpoint, knows which requests are held, and is not shutting down.
func (n *Node) ready() bool {
	config, age := n.state.Config()
	return config != nil && n.configCurrent(age) && !n.fleet.Empty() && !n.shuttingDown.Load() && n.quarantine.HoldsKnown() && n.streamsBegin()
}

// streamsBegin reports whether streams may begin, at a release of each service that has any. A node that has started
// once counts as ready without: others may still be writing the record of a release.
func (n *Node) streamsBegin() bool {
	if n.streamsBegan.Load() {
		return true
	}
	begin := n.clock.Since(n.started) > maxRecordWait
	begin = begin || !slices.ContainsFunc(n.resumableServices(), n.releaseGate.IsClosed)
	n.streamsBegan.Store(begin)
	return begin
}

// configCurrent reports whether a configuration of the given age is current enough for the node to
// count as ready. If stale keys are accepted, a node that receives messages from others counts as
// current while the store is unavailable: any of them would have reported a newer configuration.
func (n *Node) configCurrent(age time.Duration) bool {
	bounds := n.bounds()
	limit := max(time.Duration(readyShare*float64(bounds.RevokeLimit)), 2*n.configWait()+relayPollInterval+readyMargin)
	return age < limit || bounds.AcceptStaleKeys && n.peers.Table.ReceivedFromAny(n.clock.Now(), peerTimeout)
}

// serveReady serves readiness checks, metrics and the list of restricted endpoints.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == pathMetrics:
		n.recorder.ServeHTTP(w, r)
	case r.URL.Path == pathEndpoints:
		n.serveEndpoints(w)
	case r.URL.Path != pathReady:
		w.WriteHeader(http.StatusNotFound)
	case n.reportReady():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveEndpoints responds with a list of fleet.Status.
func (n *Node) serveEndpoints(w http.ResponseWriter) {
	data, err := json.Marshal(n.fleet.Restricted(n.clock.Now(), n.slowFactor()))
	if err != nil {
		n.log.Error().Str("event", "encode_endpoints").Err(err).Send()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		n.log.Debug().Str("event", "answer_unread").Err(err).Send()
	}
}

// Ready reports whether the node is ready to serve callers.
func (n *Node) Ready() bool { return n.ready() }

// reportReady returns the result of ready, and logs each change with the conditions behind it.
func (n *Node) reportReady() bool {
	ready := n.ready()
	if ready {
		n.startLog.reach(partReady)
	}
	if n.reportedReady.Swap(ready) != ready {
		config, age := n.state.Config()
		n.log.Info().Str("event", "ready").Bool("ready", ready).Bool("configured", config != nil).
			Int64("config_age_ms", age.Milliseconds()).Bool("endpoints", !n.fleet.Empty()).
			Bool("holds", n.quarantine.HoldsKnown()).Bool("leaving", n.shuttingDown.Load()).Send()
	}
	return ready
}
