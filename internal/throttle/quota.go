package throttle

import (
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

const (
	// boundWindow is the interval for which the bound on an endpoint's requests is stated.
	boundWindow = 4 * time.Second
	// jitter is the maximum difference between the network delays of two requests.
	jitter = 400 * time.Millisecond
	// sendWindow is the interval in which a set of senders sends its quota. Requests that
	// arrive within one boundWindow were sent within one sendWindow.
	sendWindow = boundWindow + jitter
	// boundRatio and boundSlack define the bound: boundRatio times the requests that the limit allows,
	// plus boundSlack.
	boundRatio = 1.5
	boundSlack = 5
	// concurrentSets is the number of sets of senders that together keep within the bound.
	concurrentSets = 2
	// trialRequests is the number of requests of the bound that are reserved, per window and set, for
	// trial requests.
	trialRequests = 1
	// maxWindow limits the time between two requests to an endpoint with a limit close to zero, because
	// only an answer shows whether the limit has changed.
	maxWindow = time.Minute
	// maxSenders is the maximum number of nodes that send to a limited endpoint. With fewer, an
	// endpoint is left idle when these nodes have few clients or are gone; with more, each node's
	// quota at usual limits is less than one request.
	maxSenders = 8
	// An endpoint with a limit of minUnlimitedRate or more counts as unlimited, because all nodes
	// together send less than that.
	minUnlimitedRate = 1000
)

// Quota is the number of requests that one set of senders may send to an endpoint: Total in any Window.
type Quota struct {
	Total  int
	Window time.Duration
}

// ShareOf returns the quota of one set of senders for an endpoint with the given limit. It does not
// exceed the limit, and two sets with their trial requests stay within the bound. If the limit allows
// less than one request per window, the window is extended so that it holds one.
func ShareOf(perSecond float64) Quota {
	bound := boundRatio*perSecond*boundWindow.Seconds() + boundSlack
	total := min(int(bound/concurrentSets-trialRequests), int(perSecond*sendWindow.Seconds()))
	if total > 0 {
		return Quota{Total: total, Window: sendWindow}
	}
	interval := min(1/perSecond, maxWindow.Seconds())
	return Quota{Total: 1, Window: max(time.Duration(interval*float64(time.Second)), sendWindow)}
}

// PerSecond returns the request rate of one set of senders.
func (q Quota) PerSecond() float64 { return float64(q.Total) / q.Window.Seconds() }

// senderCount returns the number of nodes in the set.
func (q Quota) senderCount() int { return min(q.Total, maxSenders) }

// ofRank returns the quota of the sender with the given rank among the given number of senders, in
// requests per window. It is 0 for a negative rank.
func (q Quota) ofRank(rank, count int) int { return senders.Share(q.Total, rank, count) }
