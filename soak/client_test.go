package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// seen is what the clients saw, for the checks.
type seen struct {
	mu       sync.Mutex
	failures []string            // promises that were broken
	refused  map[string]bool     // ids that were answered "not run"
	answered int                 // with success
	sent     map[string]sentWith // by id
	heard    map[string]heard    // by id
	goals    map[chan struct{}]int
}

// sentWith is what a client sent, when, and to which node.
type sentWith struct {
	key                  string
	method, target, body string
	at                   time.Time
	node                 int
}

// heard is whose answer a client got to a request, and when its head came.
type heard struct {
	server string
	at     time.Time
}

func newSeen() *seen {
	return &seen{refused: make(map[string]bool), heard: make(map[string]heard), sent: make(map[string]sentWith), goals: make(map[chan struct{}]int)}
}

func (s *seen) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *seen) served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// serve counts one answer with success.
func (s *seen) serve() {
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

// reached returns a channel that is closed once so many answers were served.
func (s *seen) reached(goal int) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	reached := make(chan struct{})
	s.goals[reached] = goal
	return reached
}

const (
	wholeEvent = "id: %d\ndata: piece %d\n\n" // as the stand-in writes it
	eventEnd   = "\n\n"

	callTime  = 9 * time.Second
	impatient = 20 // one of so many requests is given up early
	patience  = 60 * time.Millisecond
	stay      = 200 // requests that a client sends to one node
)

// client sends one request after the other, over a connection to one node that it keeps
// as long as the node does, and turns to another node when that fails or after a while.
type client struct {
	name   string
	random *rand.Rand
	http   *http.Client
	choose func() (node int, addr string) // that the balancer would choose
	key    func() string
	seen   *seen

	node int
	addr string
	left int // requests that go to the node
}

var paths = []string{site.PathUpload, site.PathLookup, site.PathQuery, site.PathSummary}

func (c *client) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if c.left--; c.left <= 0 {
			c.left = 1 + c.random.IntN(stay)
			c.node, c.addr = c.choose()
		}
		c.send(ctx, fmt.Sprintf("%s%x", c.name, i))
	}
	c.http.CloseIdleConnections()
}

func (c *client) send(ctx context.Context, id string) {
	path := paths[c.random.IntN(len(paths))]
	session := ""
	if path == site.PathQuery || path == site.PathSummary {
		session = fmt.Sprintf("5e55%d", c.random.IntN(6))
	}
	limit := callTime
	if c.random.IntN(impatient) == 0 {
		limit = time.Duration(c.random.Int64N(int64(patience)))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := sentWith{key: c.key(), method: http.MethodPost, target: path + id, body: "body of " + id, at: time.Now(), node: c.node}
	if path == site.PathLookup { // the transport may send it twice by itself
		sent.method, sent.body = http.MethodGet, ""
	}
	req, err := site.Request(ctx, c.addr, sent.method, sent.target, sent.key, id, session)
	if err != nil {
		c.seen.fail("%s: %v", id, err)
		return
	}
	if sent.body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(sent.body)), int64(len(sent.body))
	}
	c.seen.mu.Lock()
	c.seen.sent[id] = sent
	c.seen.mu.Unlock()
	resp, err := c.http.Do(req)
	if err != nil {
		if limit == callTime {
			c.left = 0
		}
		return // a node that is gone or frozen promises nothing
	}
	defer resp.Body.Close()
	c.check(id, path, resp)
}

// promisesNotRun reports whether a status says that the request has not run and won't.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check looks at one answer.
func (c *client) check(id, path string, resp *http.Response) {
	at := time.Now()
	body, err := io.ReadAll(resp.Body)
	whole := err == nil
	server, sealed := strings.CutPrefix(resp.Header.Get("X-Server-Seal"), "seal-")
	sealed = sealed || server != ""
	if sealed {
		c.seen.mu.Lock()
		c.seen.heard[id] = heard{server, at}
		c.seen.mu.Unlock()
	}
	if sealed && resp.Header.Get("X-Attempt-Id") != id {
		c.seen.fail("%s: got the answer to %q", id, resp.Header.Get("X-Attempt-Id"))
	}
	if promisesNotRun(resp.StatusCode) {
		c.seen.mu.Lock()
		c.seen.refused[id] = true
		c.seen.mu.Unlock()
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		if resp.Header.Get("Retry-After") == "" {
			c.seen.fail("%s: 503 without Retry-After", id)
		}
	case resp.StatusCode != http.StatusOK:
	case !sealed:
		c.seen.fail("%s: a success without a seal", id)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.checkEvents(id, path, string(body), whole)
	case whole && !strings.HasSuffix(string(body), " answers "+id):
		c.seen.fail("%s: got the answer %q", id, body)
	}
	if whole && resp.StatusCode == http.StatusOK {
		c.seen.serve()
	}
}

// checkEvents looks for missing, doubled, disordered and mixed events. The last event of
// a stream that broke off may be cut.
func (c *client) checkEvents(id, path, body string, whole bool) {
	events := strings.SplitAfter(body, eventEnd)
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	for i, event := range events {
		if want := fmt.Sprintf(wholeEvent, i+1, i+1); event != want {
			c.seen.fail("%s %s: event %q in place of %q", id, path, event, want)
			return
		}
	}
	if whole && (len(events) != site.Pieces || rest != "") {
		c.seen.fail("%s %s: a stream ended as whole after %d events and %q", id, path, len(events), rest)
	}
}
