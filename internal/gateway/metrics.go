package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
)

// Names of the gateway's metrics; docs/OPERATIONS.md describes them.
const (
	metricRequests          = "cherryward_gateway_requests_total"
	metricAttempts          = "cherryward_gateway_attempts_total"
	metricFirstByteSeconds  = "cherryward_gateway_first_byte_seconds"
	metricRequestSeconds    = "cherryward_gateway_request_seconds"
	metricConfigAge         = "cherryward_gateway_config_age_seconds"
	metricStoreEra          = "cherryward_gateway_store_era"
	metricConfig            = "cherryward_gateway_config_version"
	metricEndpoints         = "cherryward_gateway_endpoints"
	metricUnreachable       = "cherryward_gateway_unreachable_services"
	metricPassed            = "cherryward_gateway_passed_requests_total"
	metricReceived          = "cherryward_gateway_received_requests_total"
	metricNodes             = "cherryward_gateway_nodes"
	metricRejected          = "cherryward_gateway_rejected_records_total"
	metricConnections       = "cherryward_gateway_connections_opened_total"
	metricExcess            = "cherryward_gateway_excess_answers_total"
	metricBuffered          = "cherryward_gateway_buffered_bytes"
	metricCallerConnections = "cherryward_gateway_caller_connections"
	metricYielded           = "cherryward_gateway_yielded_connections_total"
	metricDenied            = "cherryward_gateway_denied_connections_total"
	metricRefusedHeads      = "cherryward_gateway_refused_heads_total"
	metricHeadBytes         = "cherryward_gateway_head_bytes"
	metricReady             = "cherryward_gateway_ready"
	metricCollects          = "cherryward_gateway_collects"
	metricLoadAge           = "cherryward_gateway_load_age_seconds"
	metricHeld              = "cherryward_gateway_held_requests"
	metricSuspended         = "cherryward_gateway_suspended_seconds"
	metricSuspects          = "cherryward_gateway_suspected_requests"
	metricEvacuated         = "cherryward_gateway_evacuated_domains"
	metricCold              = "cherryward_gateway_cold_endpoints"
	metricLimited           = "cherryward_gateway_limited_endpoints"
	metricBrittle           = "cherryward_gateway_brittle_services"
	metricBackoff           = "cherryward_gateway_backoff_endpoints"
	metricRefusals          = "cherryward_gateway_refusals_total"
	metricOtherDomain       = "cherryward_gateway_other_domain_prompts_total"
	metricPlacementLoadAge  = "cherryward_gateway_placement_load_age_seconds"
	metricNoticesInUse      = "cherryward_gateway_notices_in_use"
	metricNoticesSent       = "cherryward_gateway_notices_sent_total"
	metricNoticesSentBytes  = "cherryward_gateway_notices_sent_bytes_total"
	metricNoticesWithheld   = "cherryward_gateway_notices_withheld_total"
	metricNoticesReceived   = "cherryward_gateway_notices_received_total"
	metricSlow              = "cherryward_gateway_slow_endpoints"
	metricPauseSeconds      = "cherryward_gateway_longest_pause_seconds"
	metricLatePauses        = "cherryward_gateway_late_pauses_total"
	metricResumed           = "cherryward_gateway_resumed_streams_total"
	metricOrigins           = "cherryward_gateway_stream_origins"
	metricTopicReads        = "cherryward_gateway_topic_reads_total"
	metricTopicReadBytes    = "cherryward_gateway_topic_read_bytes_total"
	metricTopicEra          = "cherryward_gateway_topic_era"
	metricJobsPostponed     = "cherryward_gateway_weight_jobs_postponed_total"
)

// secondsBounds are the upper bounds of the histogram buckets, in seconds. They are the same on all
// nodes so that their series can be added up.
var secondsBounds = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 5, 15}

// recorder holds a node's metrics. The number of series is bounded by the route kinds, their
// priorities and the result codes; it does not depend on the number of routes and accounts.
type recorder struct{ set *metrics.Set }

var (
	_ forward.Recorder = (*recorder)(nil)
	_ placer.Recorder  = (*recorder)(nil)
)

// newRecorder returns a recorder with gauges that read the node's state.
func newRecorder(n *Node) *recorder {
	set := metrics.NewSet()
	set.NewGauge(metricConfigAge, func() float64 {
		_, age := n.state.Config()
		return age.Seconds()
	})
	set.NewGauge(metricStoreEra, func() float64 { return float64(n.storeEra()) })
	set.NewGauge(metricConfig, func() float64 {
		if config, _ := n.state.Config(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	set.NewGauge(metricEndpoints, func() float64 { return float64(len(n.fleet.All())) })
	set.NewGauge(metricUnreachable, func() float64 { return float64(len(n.network.paths.Unreachable())) })
	set.NewGauge(metricNodes, func() float64 { return float64(n.nodes()) })
	set.NewGauge(metricRejected, func() float64 { return float64(n.state.rejected.Load()) })
	set.NewGauge(metricConnections, func() float64 {
		opened := int64(0)
		for _, m := range n.fleet.All() {
			opened += m.Pool.Dials()
		}
		return float64(opened)
	})
	set.NewGauge(metricBuffered, func() float64 { return float64(n.buffers.Used()) })
	set.NewGauge(metricReady, func() float64 {
		if n.ready() {
			return 1
		}
		return 0
	})
	set.NewGauge(metricCollects, func() float64 {
		if n.peers.IsCollector() {
			return 1
		}
		return 0
	})
	set.NewGauge(metricLoadAge, func() float64 {
		age, _ := n.peers.Table.AggregateAge(n.clock.Now())
		return age.Seconds()
	})
	set.NewGauge(metricHeld, func() float64 { return float64(n.quarantine.HeldCount()) })
	set.NewGauge(metricSuspended, func() float64 { return n.clock.Suspended().Seconds() })
	set.NewGauge(metricSuspects, func() float64 { return float64(n.quarantine.SuspectCount()) })
	set.NewGauge(metricEvacuated, func() float64 { return float64(len(n.state.evacuations.evacuatedDomains())) })
	set.NewGauge(metricCold, func() float64 { return n.countEndpoints((*fleet.Member).Cold) })
	set.NewGauge(metricLimited, func() float64 { return n.countEndpoints(isLimited) })
	set.NewGauge(metricBrittle, func() float64 { return float64(n.brittle.Reports.Count(n.clock.Now())) })
	set.NewGauge(metricBackoff, func() float64 { return n.countEndpoints(isBackingOff) })
	set.NewGauge(metricOrigins, func() float64 { return float64(n.origins.Len()) })
	addNoticeMetrics(set, n.peers)
	addCallerMetrics(set, n)
	set.NewGauge(metricSlow, n.countSlow)
	return &recorder{set: set}
}

// addNoticeMetrics adds the gauges of placement notices.
func addNoticeMetrics(set *metrics.Set, peers *peerload.Exchange) {
	set.NewGauge(metricNoticesInUse, func() float64 {
		if peers.NoticesInUse() {
			return 1
		}
		return 0
	})
	set.NewGauge(metricNoticesSent, func() float64 { return float64(peers.NoticeStats().Sent) })
	set.NewGauge(metricNoticesSentBytes, func() float64 { return float64(peers.NoticeStats().SentBytes) })
	set.NewGauge(metricNoticesWithheld, func() float64 { return float64(peers.NoticeStats().Withheld) })
	for i := range peers.NoticeStats().Received {
		set.NewGauge(metricNoticesReceived+`{result="`+peerload.NoticeResult(i).String()+`"}`, func() float64 {
			return float64(peers.NoticeStats().Received[i])
		})
	}
}

// recordRead records a read of a topic of the platform's store.
func (r *recorder) recordRead(topic string, read *relay.Read) {
	labels := `{topic="` + topic + `",source="` + read.Source.Kind.String() + `"`
	r.set.GetOrCreateCounter(metricTopicReads + labels + `,failed="` + strconv.FormatBool(read.Err != nil) + `"}`).Inc()
	r.set.GetOrCreateCounter(metricTopicReadBytes + labels + "}").Add(read.Bytes)
	if read.Err == nil {
		r.set.GetOrCreateGauge(metricTopicEra+labels+"}", nil).Set(float64(read.Era))
	}
}

// jobPostponed counts an engine that was postponed while it was to load weights.
func (r *recorder) jobPostponed(reason weights.PostponeReason) {
	r.set.GetOrCreateCounter(metricJobsPostponed + `{reason="` + string(reason) + `"}`).Inc()
}

// recordLoadAge records the age of the collected load reports at a placement.
func (r *recorder) recordLoadAge(age time.Duration) {
	r.set.GetOrCreatePrometheusHistogramExt(metricPlacementLoadAge, secondsBounds).Update(age.Seconds())
}

// countEndpoints returns the number of endpoints for which match returns true now.
func (n *Node) countEndpoints(match func(m *fleet.Member, now time.Time) bool) float64 {
	now, count := n.clock.Now(), 0
	for _, m := range n.fleet.All() {
		if match(m, now) {
			count++
		}
	}
	return float64(count)
}

// isLimited reports whether a rate limit of the endpoint is in force.
func isLimited(m *fleet.Member, _ time.Time) bool {
	limit, known := m.Signals.RateLimit()
	return known && limit.InForce
}

// isBackingOff reports whether requests to the endpoint are suspended by a backoff.
func isBackingOff(m *fleet.Member, now time.Time) bool {
	_, backsOff := m.Signals.Backoff(now)
	return backsOff
}

// Forwarded implements forward.Recorder. A request that was passed from one node to another is counted by
// class at the first only.
func (r *recorder) Forwarded(o *forward.Outcome) {
	label := `code="` + strconv.Itoa(int(o.Code)) + `"`
	code := "{" + label + "}"
	if o.Origin != nil {
		r.set.GetOrCreateCounter(metricResumed + `{origin="` + o.Origin.String() + `",` + label + "}").Inc()
	}
	for _, part := range o.Excesses {
		r.set.GetOrCreateCounter(metricExcess + `{part="` + string(part) + `"}`).Inc()
	}
	if o.Passed {
		r.set.GetOrCreateCounter(metricReceived + code).Inc()
		return
	}
	if o.Helper {
		r.set.GetOrCreateCounter(metricPassed + code).Inc()
	}
	labels := `{class="` + classOf(o.Route) + `"`
	r.set.GetOrCreateCounter(metricRequests + labels + `,code="` + strconv.Itoa(int(o.Code)) + `"}`).Inc()
	r.set.GetOrCreateCounter(metricAttempts + labels + `}`).Add(o.Attempts)
	if o.TimeToFirstByte > 0 {
		r.set.GetOrCreatePrometheusHistogramExt(metricFirstByteSeconds+labels+`}`, secondsBounds).Update(o.TimeToFirstByte.Seconds())
	}
	r.recordPause(o, labels)
	r.set.GetOrCreatePrometheusHistogramExt(metricRequestSeconds+labels+`}`, secondsBounds).Update(o.Total.Seconds())
}

// Refused implements placer.Recorder.
func (r *recorder) Refused(route *routing.Route, reason string) {
	r.set.GetOrCreateCounter(metricRefusals + `{class="` + classOf(route) + `",why="` + reason + `"}`).Inc()
}

// PlacedInOtherDomain implements placer.Recorder.
func (r *recorder) PlacedInOtherDomain(route *routing.Route, spilled bool) {
	r.set.GetOrCreateCounter(metricOtherDomain + `{class="` + classOf(route) + `",spilled="` + strconv.FormatBool(spilled) + `"}`).Inc()
}

// classOf returns a route's class label: its kind and priority, or "none" without a route.
func classOf(route *routing.Route) string {
	if route == nil {
		return "none"
	}
	return route.Kind.String() + "-" + strconv.Itoa(route.Priority)
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (r *recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
