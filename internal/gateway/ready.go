package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// readyShare is the part of the revocation bound up to which a node with an
	// ageing configuration counts as ready. Callers are better served elsewhere
	// before it has to refuse their keys.
	readyShare = 0.5
	// readyMargin is what the configuration's age may be beyond two waits of a read,
	// its age on a calm day, at a node that counts as ready.
	readyMargin = 500 * time.Millisecond

	pathReady   = "/-/readyz"
	pathMetrics = "/metrics"
	// pathEndpoints lists the endpoints that don't take any number of requests, in JSON.
	pathEndpoints = "/endpoints"
)

// ready reports whether callers are well served here.
func (n *Node) ready() bool {
	config, age := n.state.Config()
	return config != nil && n.current(age) && !n.fleet.Empty() && !n.leaving.Load()
}

// current reports whether a configuration of that age serves callers as well as another
// node's would. Where stale keys are accepted, a node that hears others does as they do
// while the store is away: each of them would have told it of a newer one.
func (n *Node) current(age time.Duration) bool {
	bounds := n.bounds()
	limit := max(time.Duration(readyShare*float64(bounds.Revoke)), 2*n.configWait()+askPause+readyMargin)
	return age < limit || bounds.AcceptStaleKeys && n.peers.Table.Hears(n.clock.Now(), heardTime)
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == pathMetrics:
		n.recorder.ServeHTTP(w, r)
	case r.URL.Path == pathEndpoints:
		n.serveEndpoints(w)
	case r.URL.Path != pathReady:
		w.WriteHeader(http.StatusNotFound)
	case n.tellReady():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveEndpoints answers with a list of fleet.Status.
func (n *Node) serveEndpoints(w http.ResponseWriter) {
	data, err := json.Marshal(n.fleet.Restricted(n.clock.Now()))
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

// Ready reports whether the node tells the balancer to send callers.
func (n *Node) Ready() bool { return n.ready() }

// tellReady returns what ready does, and logs each change with what decided it.
func (n *Node) tellReady() bool {
	ready := n.ready()
	if n.toldReady.Swap(ready) != ready {
		config, age := n.state.Config()
		n.log.Info().Str("event", "ready").Bool("ready", ready).Bool("configured", config != nil).
			Int64("config_age_ms", age.Milliseconds()).Bool("endpoints", !n.fleet.Empty()).
			Bool("leaving", n.leaving.Load()).Send()
	}
	return ready
}
