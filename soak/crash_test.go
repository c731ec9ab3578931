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
	// endingPath is the end of the path of a request that ends each model server which begins to run
	// it. One caller sends it again and again, to any node.
	endingPath  = "ends-servers"
	endingPause = 250 * time.Millisecond
	endingTime  = 3 * time.Second
	// downTime is how long a server that ended is away.
	downTime = 1500 * time.Millisecond
	// endingsAllowed is how many servers may end under a request until the nodes know, and sendsAllowed
	// how often nodes in touch may send it once they must.
	endingsAllowed = 3
	sendsAllowed   = 3
)

// sendEnding sends that request until ctx is done.
func (w *world) sendEnding(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		node := random.IntN(len(w.nodes))
		w.sendEndingOnce(ctx, transport, fmt.Sprintf("ending-%x", i), node)
		select {
		case <-ctx.Done():
		case <-time.After(endingPause):
		}
	}
}

func (w *world) sendEndingOnce(ctx context.Context, transport *http.Transport, id string, node int) {
	ctx, cancel := context.WithTimeout(ctx, endingTime)
	defer cancel()
	sent := sentWith{key: w.key(), method: http.MethodPost, target: site.PathQuery + endingPath, at: time.Now(), node: node}
	req, err := site.Request(ctx, *w.nodes[node].addr.Load(), sent.method, sent.target, sent.key, id, "5e550")
	if err != nil {
		w.seen.fail("%s: %v", id, err)
		return
	}
	w.seen.mu.Lock()
	w.seen.sent[id] = sent
	w.seen.mu.Unlock()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return // a node that is gone or frozen promises nothing
	}
	defer resp.Body.Close()
	if promisesNotRun(resp.StatusCode) {
		w.seen.mu.Lock()
		w.seen.refused[id] = true
		w.seen.mu.Unlock()
	}
}

// serverEnds has a model server that ends refuse connections, and start again later. It is called
// while the server runs the request.
func (w *world) serverEnds(i int) {
	w.mu.Lock()
	w.endings = append(w.endings, time.Now())
	w.mu.Unlock()
	w.proxies[modelProxy+i].end()
	w.ups.Go(func() {
		w.pause(downTime)
		w.leaving.Lock()
		defer w.leaving.Unlock()
		test.NoError(w.t, w.site.Restart(i, false))
		test.NoError(w.t, w.proxies[modelProxy+i].reopen())
	})
}

// sentAfterThreeEndings returns the runs of the request that nodes in touch sent on though they had
// to know of three endings, beyond those that are allowed.
func (w *world) sentAfterThreeEndings() []string {
	if len(w.endings) < endingsAllowed {
		return nil
	}
	known := w.endings[endingsAllowed-1].Add(stableWindow)
	var late []string
	for _, s := range w.site.Models {
		for _, r := range s.Runs() {
			calm := r.At.Add(-stableWindow)
			node := w.nodes[w.seen.sent[r.Request].node]
			if strings.HasSuffix(r.Target, endingPath) && r.At.After(known) && w.core.calm(calm, r.At) && node.harmed.calm(calm, r.At) {
				late = append(late, fmt.Sprintf("%s ended a server %v after the third ending", r.Request, r.At.Sub(known.Add(-stableWindow))))
			}
		}
	}
	if len(late) <= sendsAllowed {
		return nil
	}
	return late
}
