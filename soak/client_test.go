package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// observed holds what the clients observed, for the checks.
type observed struct {
	mu        sync.Mutex
	failures  []string               // violations of guarantees
	refused   map[string]bool        // ids rejected as not run
	answered  int                    // number of successful responses
	sent      map[string]sentRequest // by id
	received  map[string]received    // by id
	resumes   map[string]string      // ids of the requests that began the streams, by id of those that take them up
	uncounted map[string]bool        // ids of those that name no stream, or take one up once more after a refusal
	goals     map[chan struct{}]int
	outcomes  []outcome // of requests that clients didn't give up
}

// sentRequest is a request of a client, with the time and the index of the node.
type sentRequest struct {
	key                  string
	method, target, body string
	at                   time.Time
	node                 int
}

// received holds the server of a received response and the time at which its headers arrived.
type received struct {
	server string
	at     time.Time
}

func newObserved() *observed {
	return &observed{refused: make(map[string]bool), received: make(map[string]received), resumes: make(map[string]string), uncounted: make(map[string]bool), sent: make(map[string]sentRequest), goals: make(map[chan struct{}]int)}
}

func (s *observed) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *observed) successCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// countSuccess counts a successful response.
func (s *observed) countSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	for reached, goal := range s.goals {
		if s.answered >= goal {
			close(reached)
			delete(s.goals, reached)
		}
	}
}

// reached returns a channel that is closed once the number of successful responses reaches goal.
func (s *observed) reached(goal int) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	reached := make(chan struct{})
	s.goals[reached] = goal
	return reached
}

const (
	wholeEvent = "id: %d\ndata: piece %d\n\n" // format of the stand-in
	eventEnd   = "\n\n"

	callTimeout        = 9 * time.Second
	abortOneIn         = 20 // one in this many requests is aborted early
	maxAbortDelay      = 60 * time.Millisecond
	maxRequestsPerNode = 200 // maximum number of consecutive requests to one node
)

// client sends requests sequentially over a persistent connection to one node. It switches to another
// node after a failure or a number of requests.
type client struct {
	name       string
	random     *rand.Rand
	http       *http.Client
	chooseNode func() (node int, addr string) // simulates a load balancer
	key        func() string
	observed   *observed
	ending     func() bool // reports whether the run ends; nil means never

	node         int
	addr         string
	requestsLeft int // remaining requests to the node

	delays  *rand.Rand // of resumed streams; nil if all are resumed at once and named
	streams bool       // it sends only streams that it breaks off and resumes
	broken  []*brokenStream
}

var paths = []string{site.PathUpload, site.PathLookup, site.PathQuery, site.PathSummary}

func (c *client) run(ctx context.Context) {
	c.ending = func() bool { return ctx.Err() != nil }
	for i := 0; ctx.Err() == nil; i++ {
		if c.requestsLeft--; c.requestsLeft <= 0 {
			c.requestsLeft = 1 + c.random.IntN(maxRequestsPerNode)
			c.node, c.addr = c.chooseNode()
		}
		c.resumeDue(ctx)
		c.send(ctx, fmt.Sprintf("%s%x", c.name, i))
	}
	c.http.CloseIdleConnections()
}

func (c *client) send(ctx context.Context, id string) {
	path := paths[c.random.IntN(len(paths))]
	if c.streams {
		path = site.PathQuery
	}
	session := ""
	if path == site.PathQuery || path == site.PathSummary {
		session = fmt.Sprintf("5e55%d", c.random.IntN(6))
	}
	limit := callTimeout
	if c.random.IntN(abortOneIn) == 0 {
		limit = time.Duration(c.random.Int64N(int64(maxAbortDelay)))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := sentRequest{key: c.key(), method: http.MethodPost, target: path + id, body: "body of " + id, at: time.Now(), node: c.node}
	if path == site.PathLookup { // the transport may retry it
		sent.method, sent.body = http.MethodGet, ""
	}
	if path == site.PathQuery && limit == callTimeout && (c.streams || c.random.IntN(breakOneIn) == 0) {
		c.breakAndResume(ctx, id, session, &sent)
		return
	}
	resp, err := c.do(ctx, id, session, &sent)
	if err != nil {
		if limit == callTimeout {
			c.requestsLeft = 0
			c.record(&sent, false, 0)
		}
		return // a stopped or frozen node guarantees nothing
	}
	defer resp.Body.Close()
	served := c.check(id, path, resp)
	if limit == callTimeout {
		c.record(&sent, served, resp.StatusCode)
	}
}

// do records and sends a request to the client's node. The values of header are added to it.
func (c *client) do(ctx context.Context, id, session string, sent *sentRequest, header ...string) (*http.Response, error) {
	req, err := site.Request(ctx, c.addr, sent.method, sent.target, sent.key, id, session)
	if err != nil {
		c.observed.fail("%s: %v", id, err)
		return nil, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if sent.body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(sent.body)), int64(len(sent.body))
	}
	c.observed.mu.Lock()
	c.observed.sent[id] = *sent
	c.observed.mu.Unlock()
	return c.http.Do(req)
}

// guaranteesNotRun reports whether a status guarantees that the request did not and will not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check records and checks a response, and reports whether the request was served.
func (c *client) check(id, path string, resp *http.Response) (served bool) {
	return c.checkFrom(id, path, resp, 0)
}

// checkFrom is check for a response that begins after the given event.
func (c *client) checkFrom(id, path string, resp *http.Response, after int) (served bool) {
	at := time.Now()
	body, err := io.ReadAll(resp.Body)
	complete := err == nil
	server, sealed := strings.CutPrefix(resp.Header.Get("X-Server-Seal"), "seal-")
	sealed = sealed || server != ""
	if sealed {
		c.observed.mu.Lock()
		c.observed.received[id] = received{server, at}
		c.observed.mu.Unlock()
	}
	if sealed && resp.Header.Get("X-Attempt-Id") != id {
		c.observed.fail("%s: received the response to %q", id, resp.Header.Get("X-Attempt-Id"))
	}
	if guaranteesNotRun(resp.StatusCode) {
		c.observed.mu.Lock()
		c.observed.refused[id] = true
		c.observed.mu.Unlock()
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		if resp.Header.Get("Retry-After") == "" && !(c.isResumed(id) && isFinal(string(body))) {
			c.observed.fail("%s: 503 without Retry-After", id)
		}
	case resp.StatusCode != http.StatusOK:
	case !sealed:
		c.observed.fail("%s: successful response without a seal", id)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.checkEvents(id, path, string(body), complete, after)
	case complete && !strings.HasSuffix(string(body), " answers "+id):
		c.observed.fail("%s: received the response %q", id, body)
	}
	served = complete && resp.StatusCode == http.StatusOK
	if served {
		c.observed.countSuccess()
	}
	return served
}

// checkEvents detects missing, duplicate, reordered and mixed events in a stream that begins after the
// given event. The last event of an interrupted stream may be truncated. Comments are no events.
func (c *client) checkEvents(id, path, body string, complete bool, after int) {
	events := strings.SplitAfter(body, eventEnd)
	rest := events[len(events)-1]
	events = slices.DeleteFunc(events[:len(events)-1], func(e string) bool { return strings.HasPrefix(e, ":") && strings.Count(e, "\n") == len(eventEnd) })
	for i, event := range events {
		if want := fmt.Sprintf(wholeEvent, after+i+1, after+i+1); event != want {
			c.observed.fail("%s %s: event %q instead of %q", id, path, event, want)
			return
		}
	}
	if complete && (after+len(events) != site.StreamEvents || rest != "") {
		c.observed.fail("%s %s: complete stream has %d events and trailing bytes %q", id, path, len(events), rest)
	}
}
