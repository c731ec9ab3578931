package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	// crashPath is the path suffix of a request that crashes each model server that runs it. One
	// caller sends it periodically, to random nodes.
	crashPath     = "ends-servers"
	crashInterval = 250 * time.Millisecond
	crashTimeout  = 3 * time.Second
	// downTime is the time for which a crashed server is down.
	downTime = 1500 * time.Millisecond
	// maxCrashes is the number of servers that a request may crash before nodes must quarantine it,
	// and maxLateSends the number of times that connected nodes may send it after that.
	maxCrashes   = 3
	maxLateSends = 3
)

// sendCrashing sends the crashing request periodically until ctx is done.
func (w *world) sendCrashing(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		node, addr := w.anyNode(random)
		w.sendCrashingOnce(ctx, transport, fmt.Sprintf("ending-%x", i), node, addr)
		select {
		case <-ctx.Done():
		case <-time.After(crashInterval):
		}
	}
}

func (w *world) sendCrashingOnce(ctx context.Context, transport *http.Transport, id string, node int, addr string) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	sent := sentRequest{key: w.key(), method: http.MethodPost, target: site.PathQuery + crashPath, at: time.Now(), node: node}
	req, err := site.Request(ctx, addr, sent.method, sent.target, sent.key, id, "5e550")
	if err != nil {
		w.observed.fail("%s: %v", id, err)
		return
	}
	w.observed.mu.Lock()
	w.observed.sent[id] = sent
	w.observed.mu.Unlock()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return // a stopped or frozen node guarantees nothing
	}
	defer resp.Body.Close()
	if guaranteesNotRun(resp.StatusCode) {
		w.observed.mu.Lock()
		w.observed.refused[id] = true
		w.observed.mu.Unlock()
	}
}

// onServerCrash makes a crashed model server refuse connections, and restarts it after downTime. It is
// called while the server runs the request.
func (w *world) onServerCrash(i int) {
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	w.link(i).refuse()
	end := w.acting.open()
	w.restarts.Go(func() {
		defer end()
		time.Sleep(downTime) // also when fault injection has ended, as nodes count only crashes that they can see
		w.removing.Lock()
		defer w.removing.Unlock()
		w.restart(i)
		test.NoError(w.t, w.link(i).reopen())
	})
}

// sentAfterMaxCrashes returns the runs of the crashing request that connected nodes sent after they
// must have observed maxCrashes crashes, if there are more than maxLateSends.
func (w *world) sentAfterMaxCrashes() []string {
	if len(w.crashes) < maxCrashes {
		return nil
	}
	known := w.crashes[maxCrashes-1].Add(w.bounds.StableWindow)
	var late []string
	for _, s := range w.site.Models {
		for _, r := range s.Runs() {
			if strings.HasSuffix(r.Target, crashPath) && r.At.After(known) && w.sentConnected(&r) {
				late = append(late, fmt.Sprintf("%s crashed a server %v after the third crash", r.Request, r.At.Sub(known.Add(-w.bounds.StableWindow))))
			}
		}
	}
	if len(late) <= maxLateSends {
		return nil
	}
	return late
}

// clockTimes formats times of the day.
func clockTimes(times []time.Time) (list []string) {
	for _, t := range times {
		list = append(list, t.Format("05.000"))
	}
	return list
}
