package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	// While releases change, one in lateOneIn streams is resumed later, one in longOneIn of these up to the time
	// for which nodes keep releases of streams; and one in unnamedOneIn without its first request's name.
	lateOneIn     = 2
	longOneIn     = 4
	maxDelay      = 3 * time.Second
	maxLongDelay  = 25 * time.Second
	unnamedOneIn  = 2
	dueAtOnceSize = 2 // streams that a client resumes between two other requests

	// streamClients is the number of clients that send only streams while releases change.
	streamClients = 6
	// refusedPause is the time that they wait after a refused stream.
	refusedPause = 20 * time.Millisecond
	// maxTries is the number of nodes to which clients turn with a stream while releases change.
	maxTries = 3
)

// brokenStream is a stream that broke off, which its client resumes.
type brokenStream struct {
	id     string
	sent   sentRequest
	events int // received
	due    time.Time
}

// takeUp resumes a broken stream, at once or later.
func (c *client) takeUp(ctx context.Context, b *brokenStream) {
	if c.delays == nil || c.delays.IntN(lateOneIn) > 0 {
		c.resume(ctx, b)
		return
	}
	delay := maxDelay
	if c.delays.IntN(longOneIn) == 0 {
		delay = maxLongDelay
	}
	b.due = time.Now().Add(time.Duration(c.delays.Int64N(int64(delay))))
	c.broken = append(c.broken, b)
}

// resumeDue resumes some broken streams that are due.
func (c *client) resumeDue(ctx context.Context) {
	for range dueAtOnceSize {
		i := slices.IndexFunc(c.broken, func(b *brokenStream) bool { return time.Now().After(b.due) })
		if i < 0 {
			return
		}
		b := c.broken[i]
		c.broken = slices.Delete(c.broken, i, i+1)
		c.resumeWithin(ctx, b)
	}
}

func (c *client) resumeWithin(ctx context.Context, b *brokenStream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.resume(ctx, b)
}

// resume resumes a broken stream, mostly at another node. While releases change, it turns to others after a refusal.
func (c *client) resume(ctx context.Context, b *brokenStream) {
	named := c.delays == nil || c.delays.IntN(unnamedOneIn) > 0
	for try := range maxTries {
		if c.resumeOnce(ctx, b, try, named) || c.delays == nil {
			return
		}
	}
}

// resumeOnce resumes a broken stream at a node, and reports whether it continued there.
func (c *client) resumeOnce(ctx context.Context, b *brokenStream, try int, named bool) (continued bool) {
	c.node, c.addr = c.chooseNode()
	second := fmt.Sprint(b.id, "-", 2+try)
	taken := b.sent
	taken.key, taken.at, taken.node = c.key(), time.Now(), c.node
	header := []string{"Last-Event-Id", strconv.Itoa(b.events)}
	if named {
		header = append(header, "Resumes", b.id)
	}
	c.observed.mu.Lock()
	c.observed.resumes[second] = b.id
	c.observed.uncounted[second] = !named || try > 0
	c.observed.mu.Unlock()
	// The parts of a new session lead to other servers than those that hold the stream's KV cache.
	resp, err := c.do(ctx, second, fmt.Sprintf("5e55%x", c.random.Uint32()), &taken, header...)
	if err != nil {
		c.requestsLeft = 0
		c.record(&taken, false, 0)
		return false
	}
	defer resp.Body.Close()
	c.record(&taken, c.checkFrom(second, site.PathQuery, resp, b.events), resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// isResumed reports whether a request resumes a stream.
func (c *client) isResumed(id string) bool {
	c.observed.mu.Lock()
	defer c.observed.mu.Unlock()
	return c.observed.resumes[id] != ""
}

// isFinal reports whether a refusal states that waiting doesn't help.
func isFinal(body string) bool {
	return strings.Contains(body, "stream_unknown") || strings.Contains(body, "no_endpoint_of_release")
}

// streamCounts counts the streams that clients sent at connected nodes while the metadata store was stable.
type streamCounts struct {
	begun, sent        int // new ones
	continued, resumed int // of releases that two or more servers had
}

func (c streamCounts) String() string {
	return fmt.Sprintf("%d of %d resumed streams continued, %d of %d new ones began", c.continued, c.resumed, c.begun, c.sent)
}

// tooFewResumed returns a violation if the share of resumed streams that continued is less than half of the share of
// new streams that began, at connected nodes while the metadata store was stable. Only the first try
// of streams that their clients named counts, of releases that two or more servers had.
func (w *world) tooFewResumed() []string {
	var n streamCounts
	var ended []string
	for id, s := range w.observed.sent {
		from, to := s.at.Add(-w.bounds.StableWindow), s.at.Add(w.bounds.StableWindow)
		if !strings.HasPrefix(s.target, site.PathQuery) || !w.connected(s.node, from, to) {
			continue
		}
		_, served := w.observed.received[id]
		switch first := w.observed.resumes[id]; {
		case first == "":
			n.sent++
			if served {
				n.begun++
			}
		case !w.observed.uncounted[id] && w.servedBy(w.beganAt(first), from, to) >= minServers:
			n.resumed++
			if served {
				n.continued++
			} else {
				ended = append(ended, id)
			}
		}
	}
	w.streams = n
	if n.resumed < minResumed || 2*n.continued*n.sent >= n.begun*n.resumed {
		return nil
	}
	return []string{fmt.Sprintf("%v; not continued: %v", n, ended)}
}

// beganAt returns the release of the server whose events a client received first.
func (w *world) beganAt(id string) string {
	for _, s := range w.site.Models {
		if s.ID() == w.observed.received[id].server {
			return s.Release()
		}
	}
	return ""
}
