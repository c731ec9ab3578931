package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// firstLease is the lease by the settings at the start, laterLease that by those that replace them.
	firstLease = 3 * time.Second
	laterLease = 7 * time.Second
	// engines is the number of model servers. Two load at a time, each for loadTime, so that the holder is still giving
	// orders when it is killed.
	engines  = 9
	loadTime = 1300 * time.Millisecond
	atOnce   = 2
	// lateOrders is when four of the servers carry out an order, which they don't answer.
	lateOrders = 12 * time.Second
	// orderTimeout is how long an order is awaited.
	orderTimeout = 30 * time.Second
	// tokenField is how the name of the field with the fencing token ends.
	tokenField = "-token"
)

// order is an order to load weights that reached a server.
type order struct {
	at             time.Time
	holder, server string
	token          any
}

// orders are those that reached any server.
type orders struct {
	mu    sync.Mutex
	list  []order
	added chan struct{} // receives a value for each order while there is room
}

// leaseOfHolder replaces the settings by some with a longer lease, says so with SIGHUP, names new weights some time
// later, and kills the node that orders servers to load them. The next holder must not order before the lease of the
// first has passed. Servers don't check fencing tokens in this deployment.
func leaseOfHolder(w *world) (broken bool, err error) {
	seen := &orders{added: make(chan struct{}, 1)}
	bounds := site.DefaultBounds()
	bounds.Lease, bounds.Version = laterLease, time.Minute
	w.site, err = site.Start(site.Config{
		HeartbeatInterval: time.Second, EventInterval: 5 * time.Millisecond, Bounds: bounds, Releases: make([]string, engines),
		Loads: &modelserver.Loads{Time: loadTime, AtOnce: atOnce}, Proxy: func(addr string) (string, error) { return w.watchOrders(addr, seen) },
	})
	if err != nil {
		return false, err
	}
	for i, server := range w.site.Models {
		if i%2 == 1 { // four of nine
			server.SetFaults(modelserver.Faults{LateOrders: lateOrders})
		}
	}
	w.site.Configure(1, key)
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		boot := w.unfencedBoot(name)
		if w.trouble {
			boot = withLease(boot, firstLease)
		}
		if _, err := w.start(name, boot); err != nil {
			return false, err
		}
	}
	if w.trouble {
		for _, n := range w.nodes {
			if err := n.writeBoot(w.unfencedBoot(n.name)); err != nil {
				return false, err
			}
			n.signal(syscall.SIGHUP)
			w.logf("settings of %s replaced: lease %v instead of %v; SIGHUP sent", n.name, laterLease, firstLease)
		}
	}
	time.Sleep(settleTime)
	w.site.SetTargetVersion(2)
	w.logf("weights 2 named")
	return w.killHolder(seen)
}

// unfencedBoot returns the boot file of a node of a deployment whose servers don't check fencing tokens.
func (w *world) unfencedBoot(name string) string {
	return strings.Replace(w.site.BootFile(name), "require-fence = true", "require-fence = false", 1)
}

// withLease returns a boot file with another lease.
func withLease(boot string, lease time.Duration) string {
	line := func(d time.Duration) string { return fmt.Sprintf("lease-ms = %d\n", d.Milliseconds()) }
	return strings.Replace(boot, line(laterLease), line(lease), 1)
}

// killHolder kills the node that has given the first order, and reports whether another one orders within the lease.
func (w *world) killHolder(seen *orders) (broken bool, err error) {
	first, err := seen.await(func(order) bool { return true })
	if err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		if n.name == first.holder {
			n.signal(syscall.SIGKILL)
			w.logf("SIGKILL to %s", n.name)
		}
	}
	next, err := seen.await(func(o order) bool { return o.holder != first.holder && seen.lastOf(first.holder, o.server) != nil })
	if err != nil {
		return false, err
	}
	for _, o := range seen.all() {
		w.logf("at %.3f s: order of %s to %s, token %v", o.at.Sub(w.began).Seconds(), o.holder, o.server, o.token)
	}
	last := seen.lastOf(first.holder, next.server)
	gap := next.at.Sub(last.at)
	w.logf("server %s: %.3f s from the last order of %s to the first of %s; the lease is %v", next.server, gap.Seconds(), last.holder, next.holder, laterLease)
	return gap < laterLease, nil
}

// lastOf returns the last order of a holder to a server, or nil.
func (o *orders) lastOf(holder, server string) (last *order) {
	for _, seen := range o.all() {
		if seen.holder == holder && seen.server == server {
			last = &seen
		}
	}
	return last
}

func (o *orders) all() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]order(nil), o.list...)
}

// await returns the first order that matches.
func (o *orders) await(match func(order) bool) (order, error) {
	limit := time.After(orderTimeout)
	for {
		for _, seen := range o.all() {
			if match(seen) {
				return seen, nil
			}
		}
		select {
		case <-o.added:
		case <-limit:
			return order{}, errors.New("no order came")
		}
	}
}

// watchOrders returns the address of a proxy that records the orders to a server.
func (w *world) watchOrders(addr string, seen *orders) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	forward.FlushInterval = -1
	forward.ErrorLog = w.silent()
	served := &http.Server{ErrorLog: w.silent(), Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		seen.record(addr, r.Method, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(rw, r)
	})}
	go func() { _ = served.Serve(l) }()
	w.onClose(func() { _ = served.Close() })
	return l.Addr().String(), nil
}

// record records a call if it is an order: a JSON object that names its holder.
func (o *orders) record(server, method string, body []byte) {
	var fields map[string]any
	if method != http.MethodPost || json.Unmarshal(body, &fields) != nil {
		return
	}
	holder, ok := fields["holder"].(string)
	if !ok {
		return
	}
	given := order{at: time.Now(), holder: holder, server: server}
	for name, value := range fields {
		if strings.HasSuffix(name, tokenField) {
			given.token = value
		}
	}
	o.mu.Lock()
	o.list = append(o.list, given)
	o.mu.Unlock()
	select {
	case o.added <- struct{}{}:
	default:
	}
}
