package throttle

import "time"

const (
	// boundWindow is the time in which the bound on what an endpoint gets is counted, and jitter what the
	// way of one request may take longer than that of another.
	boundWindow = 4 * time.Second
	jitter      = 400 * time.Millisecond
	window      = boundWindow + jitter
	// boundRatio and boundSlack are the bound: so many times what the limit allows, and so many requests
	// more.
	boundRatio = 1.5
	boundSlack = 5
	// views is the number of sets of senders that keep to the bound together.
	views = 2
	// trials is what is left of the bound for trial requests in a window, of the nodes of one view.
	trials = 1
	// longestWindow bounds the time between two requests to an endpoint that takes next to none: whether it
	// does so yet, only an answer tells.
	longestWindow = time.Minute
	// mostSenders bounds the nodes that send to a limited endpoint. With fewer, an endpoint stays unused
	// where these have few callers or are gone; more would have no whole request each at usual limits.
	mostSenders = 8
	// mostPerSecond is the limit from which an endpoint counts as not limited: all nodes together send it
	// less.
	mostPerSecond = 1000
)

// Share is what one set of senders sends to an endpoint: Total requests in any Window.
type Share struct {
	Total  int
	Window time.Duration
}

// ShareOf returns what one set of senders sends to an endpoint that takes so many requests a second: no
// more than that, and what keeps two sets and their trials within the bound. An endpoint that takes less
// than one in a window gets one at a time, seldom.
func ShareOf(perSecond float64) Share {
	bound := boundRatio*perSecond*boundWindow.Seconds() + boundSlack
	total := min(int(bound/views-trials), int(perSecond*window.Seconds()))
	if total > 0 {
		return Share{Total: total, Window: window}
	}
	apart := min(1/perSecond, longestWindow.Seconds())
	return Share{Total: 1, Window: max(time.Duration(apart*float64(time.Second)), window)}
}

// PerSecond returns the requests that one set of senders sends in a second.
func (s Share) PerSecond() float64 { return float64(s.Total) / s.Window.Seconds() }

// senders returns how many nodes send.
func (s Share) senders() int { return min(s.Total, mostSenders) }

// of returns how many requests the sender of a rank may send in a window, of so many senders.
func (s Share) of(rank, senders int) int {
	if rank < 0 {
		return 0
	}
	each := s.Total / senders
	if rank < s.Total%senders {
		each++
	}
	return each
}
