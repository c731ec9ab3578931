package throttle

import "time"

const (
	// boundWindow is the interval for which the bound on an endpoint's requests is stated. jitter is
	// the maximum difference between the network delays of two requests.
	boundWindow = 4 * time.Second
	jitter      = 400 * time.Millisecond
	window      = boundWindow + jitter
	// boundRatio and boundSlack define the bound: boundRatio times the requests that the limit allows,
	// plus boundSlack.
	boundRatio = 1.5
	boundSlack = 5
	// concurrentSets is the number of sets of senders that together keep within the bound.
	concurrentSets = 2
	// trialRequests is the part of the bound reserved, per window and set, for trial requests.
	trialRequests = 1
	// maxWindow limits the time between two requests to an endpoint with a limit close to zero, because
	// only an answer shows whether the limit has changed.
	maxWindow = time.Minute
	// maxSenders is the maximum number of nodes that send to a limited endpoint. With fewer, an
	// endpoint is left idle when these nodes have few clients or are gone; with more, each node's share
	// at usual limits is less than one request.
	maxSenders = 8
	// minUnlimitedRate is the limit from which an endpoint counts as unlimited, since all nodes
	// together send less than that.
	minUnlimitedRate = 1000
)

// Share is the quota of one set of senders for an endpoint: Total requests in any Window.
type Share struct {
	Total  int
	Window time.Duration
}

// ShareOf returns the quota of one set of senders for an endpoint with the given limit. It does not
// exceed the limit, and two sets with their trial requests stay within the bound. If the limit allows
// less than one request per window, the window is extended so that it holds one.
func ShareOf(perSecond float64) Share {
	bound := boundRatio*perSecond*boundWindow.Seconds() + boundSlack
	total := min(int(bound/concurrentSets-trialRequests), int(perSecond*window.Seconds()))
	if total > 0 {
		return Share{Total: total, Window: window}
	}
	apart := min(1/perSecond, maxWindow.Seconds())
	return Share{Total: 1, Window: max(time.Duration(apart*float64(time.Second)), window)}
}

// PerSecond returns the request rate of one set of senders.
func (s Share) PerSecond() float64 { return float64(s.Total) / s.Window.Seconds() }

// senderCount returns the number of nodes in the set.
func (s Share) senderCount() int { return min(s.Total, maxSenders) }

// forRank returns the number of requests per window that the sender with the given rank may send, if
// there are the given number of senders. It is 0 for a negative rank.
func (s Share) forRank(rank, senders int) int {
	if rank < 0 {
		return 0
	}
	each := s.Total / senders
	if rank < s.Total%senders {
		each++
	}
	return each
}
