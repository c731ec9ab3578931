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
	if w.trouble != "0" {
		w.signal(n, syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		if w.trouble != "term" {
			w.signal(n, syscall.SIGHUP)
		}
	}
	wg.Wait()
	return w.judgeLost(answers)
}

// judgeLost fails if a request that a server ran has no complete answer, though the server didn't break off.
func (w *world) judgeLost(answers []*answer) error {
	ran := make(map[string]string)
	for _, s := range append(w.site.Models, w.site.Plain) {
		for _, r := range s.Runs() {
			ran[r.Request] = s.ID()
			w.log("%s ran at %s from %.3f s on", r.Request, s.ID(), r.At.Sub(w.began).Seconds())
		}
	}
	lost := 0
	for _, a := range answers {
		if a.err != nil && ran[a.id] != "" {
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
