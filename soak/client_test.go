package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
}

type sentWith struct {
	key string
	at  time.Time
}

func newSeen() *seen {
	return &seen{refused: make(map[string]bool), sent: make(map[string]sentWith)}
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

// client sends one request after the other, over connections that it keeps as long
// as the node does.
type client struct {
	name   string
	random *rand.Rand
	http   *http.Client
	node   func() string // address of a node that the balancer would choose
	key    func() string
	seen   *seen
}

var paths = []string{site.PathUpload, site.PathLookup, site.PathQuery, site.PathSummary}

func (c *client) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.send(ctx, fmt.Sprintf("%s%x", c.name, i))
	}
}

func (c *client) send(ctx context.Context, id string) {
	path := paths[c.random.IntN(len(paths))]
	session := ""
	if path == site.PathQuery || path == site.PathSummary {
		session = fmt.Sprintf("5e55%d", c.random.IntN(6))
	}
	ctx, cancel := context.WithTimeout(ctx, 9*time.Second)
	defer cancel()
	key := c.key()
	req, err := site.Request(ctx, c.node(), http.MethodGet, path+"x", key, id, session)
	if err != nil {
		c.seen.fail("%s: %v", id, err)
		return
	}
	c.seen.mu.Lock()
	c.seen.sent[id] = sentWith{key, time.Now()}
	c.seen.mu.Unlock()
	resp, err := c.http.Do(req)
	if err != nil {
		return // a node that is gone or frozen promises nothing
	}
	defer resp.Body.Close()
	c.check(id, path, resp)
}

// check looks at one answer.
func (c *client) check(id, path string, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	whole := err == nil
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.seen.mu.Lock()
		c.seen.refused[id] = true
		c.seen.mu.Unlock()
		if resp.Header.Get("Retry-After") == "" {
			c.seen.fail("%s: 503 without Retry-After", id)
		}
	case resp.StatusCode != http.StatusOK:
	case resp.Header.Get("X-Server-Seal") == "":
		c.seen.fail("%s: a success without a seal", id)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.checkEvents(id, path, string(body), whole)
	case whole && !strings.HasSuffix(string(body), " answers "+id):
		c.seen.fail("%s: got the answer %q", id, body)
	}
	if whole && resp.StatusCode == http.StatusOK {
		c.seen.mu.Lock()
		c.seen.answered++
		c.seen.mu.Unlock()
	}
}

// checkEvents looks for missing, doubled and disordered events.
func (c *client) checkEvents(id, path, body string, whole bool) {
	next := 1
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(text); err != nil || n != next {
			c.seen.fail("%s %s: event %q in place of %d", id, path, text, next)
			return
		}
		next++
	}
	if whole && next != site.Pieces+1 {
		c.seen.fail("%s %s: a stream ended as whole after %d events", id, path, next-1)
	}
}
