package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	// shortGrace and longGrace are the times between SIGTERM and SIGKILL by the settings at the start and by those
	// that replace them.
	shortGrace = 4 * time.Second
	longGrace  = 8 * time.Second
	// settleTime is how long the nodes run with the replaced settings before one is stopped: longer than all bounds.
	settleTime = 10 * time.Second
	// streamPause makes a stream of the stand-in last about 6 s: less than five sixths of longGrace.
	streamPause = 720 * time.Millisecond
	streams     = 10
	// uncounted is the part of the grace period in whose rest a server may still be at work.
	uncounted = longGrace * 5 / 6
)

// stream is what a caller saw of a stream.
type stream struct {
	id       string
	first    chan struct{} // closed with the first event
	events   int
	complete bool
	ended    time.Time
	err      error
}

// stopTime replaces the settings by some with a longer grace period, says so with SIGHUP, and stops a node by SIGTERM
// some time later. Streams that end well within the grace period must not be cut.
func stopTime(w *world) (broken bool, err error) {
	bounds := site.DefaultBounds()
	bounds.Grace = longGrace
	if w.site, err = site.Start(site.Config{HeartbeatInterval: time.Second, EventInterval: streamPause, Bounds: bounds}); err != nil {
		return false, err
	}
	w.site.Configure(1, key)
	var stopped *node
	for _, name := range []string{"node-1", "node-2"} {
		long := w.site.BootFile(name)
		boot := long
		if w.trouble {
			boot = withGrace(long, shortGrace)
		}
		n, err := w.start(name, boot)
		if err != nil {
			return false, err
		}
		if stopped == nil {
			stopped = n
		}
	}
	if w.trouble {
		for _, n := range w.nodes {
			if err := n.writeBoot(w.site.BootFile(n.name)); err != nil {
				return false, err
			}
			n.signal(syscall.SIGHUP)
			w.logf("settings of %s replaced: grace %v instead of %v; SIGHUP sent", n.name, longGrace, shortGrace)
		}
	}
	time.Sleep(settleTime)
	return w.stopDuring(stopped)
}

// withGrace returns a boot file with another grace period.
func withGrace(boot string, grace time.Duration) string {
	line := func(d time.Duration) string { return fmt.Sprintf("grace-s = %d\n", d/time.Second) }
	return strings.Replace(boot, line(longGrace), line(grace), 1)
}

// stopDuring stops a node as the platform does while streams are under way, and reports whether one was cut.
func (w *world) stopDuring(n *node) (broken bool, err error) {
	list := make([]*stream, streams)
	var reading sync.WaitGroup
	for i := range list {
		s := &stream{id: fmt.Sprintf("stream-%d", i), first: make(chan struct{})}
		list[i] = s
		reading.Go(func() { w.read(n, s) })
	}
	for _, s := range list {
		select {
		case <-s.first:
		case <-time.After(requestTime):
			return false, fmt.Errorf("%s has not begun", s.id)
		}
	}
	at := time.Now()
	n.signal(syscall.SIGTERM)
	w.logf("SIGTERM to %s", n.name)
	killed := time.AfterFunc(longGrace, func() { n.signal(syscall.SIGKILL) })
	defer killed.Stop()
	reading.Wait()
	for _, s := range list {
		after := s.ended.Sub(at)
		cut := !s.complete && after < uncounted
		w.logf("%s: %d of %d events, complete %v, ended %.2f s after SIGTERM, error %v", s.id, s.events, site.StreamEvents, s.complete, after.Seconds(), s.err)
		broken = broken || cut
	}
	for _, server := range w.site.Models {
		for _, run := range server.Runs() {
			w.logf("server %s ran %s", server.ID(), run.Request)
		}
		w.logf("server %s: %d runs whose client left before their end", server.ID(), server.AbandonedRequests())
	}
	return broken, nil
}

// read requests a stream and reads it to its end.
func (w *world) read(n *node, s *stream) {
	defer func() { s.ended = time.Now() }()
	req, err := site.Request(context.Background(), n.addr, http.MethodPost, site.PathSummary, key, s.id, s.id)
	if err != nil {
		s.err = err
		return
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	w.logf("%s sent to %s", s.id, n.name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.err = err
		return
	}
	defer resp.Body.Close()
	w.logf("%s: status %d", s.id, resp.StatusCode)
	body := bufio.NewReader(resp.Body)
	for {
		line, err := body.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			if s.events++; s.events == 1 {
				close(s.first)
			}
		}
		if err != nil {
			s.complete = errors.Is(err, io.EOF) && s.events == site.StreamEvents
			s.err = err
			return
		}
	}
}
