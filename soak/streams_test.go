package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// breakOneIn is the number of resumable streams of which clients break one off and resume it at
	// another node.
	breakOneIn = 2
	// breakAfter is the number of events after which they do.
	breakAfter = 3
	// minResumed is the number of resumed streams from which the share that continues is checked.
	minResumed = 12
	// minServers is the least number of servers of a release for that.
	minServers = 2
)

// breakAndResume breaks off a stream and resumes it with another request. A stream that breaks off by itself before
// is resumed as well.
func (c *client) breakAndResume(ctx context.Context, id, session string, sent *sentRequest) {
	resp, err := c.do(ctx, id, session, sent)
	if err != nil {
		c.requestsLeft = 0
		c.record(sent, false, 0)
		return
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		c.record(sent, c.check(id, site.PathQuery, resp), resp.StatusCode)
		if c.streams {
			c.requestsLeft = 0
			time.Sleep(refusedPause)
		}
		return
	}
	events := readSome(resp)
	resp.Body.Close()
	c.record(sent, events > 0, resp.StatusCode)
	server, sealed := strings.CutPrefix(resp.Header.Get("X-Server-Seal"), "seal-")
	if events == 0 || !sealed {
		return
	}
	c.observed.mu.Lock()
	c.observed.received[id] = received{server, time.Now()}
	c.observed.mu.Unlock()
	c.takeUp(ctx, &brokenStream{id: id, sent: *sent, events: events})
}

// readSome reads up to breakAfter events and returns their number.
func readSome(resp *http.Response) (events int) {
	lines := bufio.NewScanner(resp.Body)
	for events < breakAfter && lines.Scan() {
		if lines.Text() == "" {
			events++
		}
	}
	return events
}

// releaseRun is a run with the release of its server.
type releaseRun struct {
	modelserver.Run
	release string
}

// continues reports whether the run continues after events that another run sent.
func (r *releaseRun) continues() bool { return r.Header.Get("Last-Event-Id") != "" }

// streamRuns returns the runs of resumable streams by request id, in the order in which they began.
func (w *world) streamRuns() map[string][]releaseRun {
	runs := make(map[string][]releaseRun)
	for _, s := range w.site.Models {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.Target, site.PathQuery) {
				runs[r.Request] = append(runs[r.Request], releaseRun{r, s.Release()})
			}
		}
	}
	return runs
}

// mixedReleases returns the streams that continued at another release than the one that began them, in one
// response or when their client resumed them.
func (w *world) mixedReleases() []string {
	var broken []string
	runs := w.streamRuns()
	for id, list := range runs {
		first := id
		if began := w.observed.resumes[id]; began != "" {
			first = began
		}
		began := beginning(runs[first])
		for i := range list {
			if r := &list[i]; r.continues() && r.release != began {
				broken = append(broken, fmt.Sprintf("%s continued at release %s after %s, which began at %q as %s", id, r.release, r.Header.Get("Last-Event-Id"), began, first))
			}
		}
	}
	return broken
}

// beginning returns the release whose events a stream began with: that of the latest run from the first
// event on, since earlier ones sent none.
func beginning(runs []releaseRun) (release string) {
	var latest time.Time
	for i := range runs {
		if r := &runs[i]; !r.continues() && r.At.After(latest) {
			latest, release = r.At, r.release
		}
	}
	return release
}
