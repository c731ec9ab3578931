package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// The bounds and excuses of the rule LOST, and what the stand-ins set.
const (
	grace           = 8 * time.Second  // grace-s of the boot file
	afterGrace      = time.Second      // planned work lasts so much longer
	lastPart        = grace / 6        // in it, a server that is still at work is an excuse
	excusedSentBy   = 3 * time.Second  // after SIGTERM, for requests of that excuse
	requestDeadline = 8 * time.Second  // the client's
	routeTimeout    = 10 * time.Second // the route's
)

// hangup sends SIGTERM to a machine that answers streams, and SIGHUP while it finishes them. The streams
// last 3.2 s, and the machine has 8 s (grace-s) to finish them.
func hangup(w *world) error {
	const streams = 12
	if err := w.startSite(site.Config{EventInterval: 400 * time.Millisecond}); err != nil {
		return err
	}
	n, err := w.startNode("node-1")
	if err != nil {
		return err
	}
	answers := make([]*answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			return err
		}
		defer conn.Close()
		id := fmt.Sprintf("stream-%d", i)
		req, err := w.request(n, http.MethodPost, site.PathSummary, id, fmt.Sprintf("a%d", i))
		if err != nil {
			return err
		}
		wg.Go(func() { answers[i] = w.exchange(conn, req, id) })
	}
	time.Sleep(time.Second)
	var stopped time.Time
	if w.trouble != "0" {
		stopped = time.Now()
		w.signal(n, syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		if w.trouble != "term" {
			w.signal(n, syscall.SIGHUP)
		}
	}
	wg.Wait()
	return w.judgeLost(answers, stopped)
}

// countsAsLost reports whether a request without a complete answer, which a server was running, breaks the rule.
// The stand-ins never break an answer off.
func countsAsLost(a *answer, stopped time.Time) bool {
	cut := a.sent.Add(a.elapsed)
	since := cut.Sub(stopped)
	switch {
	case since < 0 || since > grace+afterGrace: // no planned work
		return false
	case a.elapsed >= min(requestDeadline, routeTimeout):
		return false
	case since >= grace-lastPart && a.sent.Sub(stopped) <= excusedSentBy:
		return false
	}
	return true
}

// judgeLost fails if a request that was passed on to a server is lost by the rule. stopped is the time of SIGTERM,
// zero if there was none. Without planned work nothing is to be lost at all: then the case couldn't run.
func (w *world) judgeLost(answers []*answer, stopped time.Time) error {
	ran := make(map[string]string)
	for _, s := range append(w.site.Models, w.site.Plain) {
		for _, r := range s.Runs() {
			ran[r.Request] = s.ID()
			w.log("%s ran at %s from %.3f s on", r.Request, s.ID(), r.At.Sub(w.began).Seconds())
		}
	}
	lost := 0
	for _, a := range answers {
		switch {
		case a.err == nil:
		case stopped.IsZero():
			return fmt.Errorf("%s has no complete answer: %w", a.id, a.err)
		case ran[a.id] != "" && countsAsLost(a, stopped):
			lost++
			w.log("%s ran at %s and has no complete answer", a.id, ran[a.id])
		}
	}
	w.log("%d of %d requests lost", lost, len(answers))
	if lost > 0 {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}
