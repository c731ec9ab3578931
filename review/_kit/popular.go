package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// plainServers is the number of servers of the plain service, the stand-in's own one included.
	plainServers = 3
	// workTime is how long these take for a request: within what the pages' sheets state of plain requests.
	workTime = 200 * time.Millisecond
	// callers poll the same page, and others callers ask for pages of their own, each every pollPause.
	callers, others = 14, 2
	pollPause       = 50 * time.Millisecond
	// callTime is a caller's deadline.
	callTime = 2500 * time.Millisecond

	// usualTime is how long callers poll before the servers crash, crashTime how long these are down, and killAfter the
	// time from their crash until all nodes are killed. downTime is how long the nodes are down.
	usualTime = 5 * time.Second
	crashTime = 3 * time.Second
	killAfter = 4 * time.Second
	downTime  = 600 * time.Millisecond
	// recoverTime is the bound of the rule, and judgedTime the time after it in which requests are judged.
	recoverTime = 12 * time.Second
	judgedTime  = 5 * time.Second
	// served is the share of the requests that is to be served then.
	servedShare = 0.25
)

// plainServer is a server of the plain service that can crash and come back at its address.
type plainServer struct {
	*modelserver.Server
	addr   string
	served *http.Server
}

// popularPage has the servers of a service crash at the same moment, as with the power of a zone, while callers poll a
// page there, and kills all nodes some time later. Once the servers and nodes are back, the page must be served again.
func popularPage(w *world) (broken bool, err error) {
	if w.site, err = site.Start(site.Config{HeartbeatInterval: time.Second, EventInterval: 5 * time.Millisecond}); err != nil {
		return false, err
	}
	w.site.Configure(1, key)
	servers, err := w.startPlain()
	if err != nil {
		return false, err
	}
	if err := w.startThree(); err != nil {
		return false, err
	}
	polls := &polls{w: w}
	stop := polls.start()
	defer stop()
	time.Sleep(usualTime)
	usual := polls.take()
	if w.trouble {
		var crashing sync.WaitGroup
		for _, s := range servers {
			crashing.Go(func() { _ = s.served.Close() })
		}
		crashing.Wait()
		w.logf("all %d servers of the service crash", len(servers))
		time.Sleep(crashTime)
		if err := w.bringBack(servers); err != nil {
			return false, err
		}
		time.Sleep(killAfter - crashTime)
	} else {
		time.Sleep(killAfter)
	}
	if err := w.killAll(); err != nil {
		return false, err
	}
	polls.take()
	time.Sleep(recoverTime)
	polls.take()
	time.Sleep(judgedTime)
	after := polls.take()
	w.logf("before: %v", usual)
	w.logf("later than %v after the nodes were back: %v", recoverTime, after)
	if usual.share() < servedShare {
		return false, errors.New("less than a quarter was served before")
	}
	return after.share() < servedShare, nil
}

// startPlain replaces the stand-in's plain server by several ones that take workTime for a request.
func (w *world) startPlain() (list []*plainServer, err error) {
	for i := range plainServers {
		id := fmt.Sprintf("plain-%d", i+1) // the first one takes the entry of the stand-in's own server over
		s := &plainServer{Server: modelserver.New(modelserver.Config{ID: id, Service: "plain", Zone: site.SecondZone})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.addr = l.Addr().String()
		s.serve(w, l)
		list = append(list, s)
	}
	beats := time.NewTicker(200 * time.Millisecond)
	done := make(chan struct{})
	w.onClose(func() { close(done) })
	go func() {
		for {
			for _, s := range list {
				w.site.Store.Put(platform.TopicEndpoints, s.ID(), s.Entry(s.addr, "ready"))
			}
			select {
			case <-done:
				beats.Stop()
				return
			case <-beats.C:
			}
		}
	}()
	return list, nil
}

func (s *plainServer) serve(w *world, l net.Listener) {
	answer := s.Handler()
	s.served = &http.Server{ErrorLog: w.silent(), Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(workTime):
			answer.ServeHTTP(rw, r)
		}
	})}
	served := s.served
	go func() { _ = served.Serve(l) }()
	w.onClose(func() { _ = served.Close() })
}

func (w *world) bringBack(servers []*plainServer) error {
	for _, s := range servers {
		l, err := site.ListenRetry(s.addr)
		if err != nil {
			return err
		}
		s.serve(w, l)
	}
	w.logf("the servers are back")
	return nil
}

func (w *world) startThree() error {
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		if _, err := w.start(name, w.site.BootFile(name)); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all nodes and starts them again.
func (w *world) killAll() error {
	killed := w.running()
	for _, n := range killed {
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
	w.setRunning(nil)
	w.logf("all nodes were killed")
	time.Sleep(downTime)
	return w.startThree()
}

// counts are numbers of requests by how they ended.
type counts struct {
	sent, served int
	ends         map[string]int
}

func (c counts) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func (c counts) String() string {
	return fmt.Sprintf("%d requests, %.3f served, %v", c.sent, c.share(), c.ends)
}

// polls are the callers of the service.
type polls struct {
	w  *world
	mu sync.Mutex
	counts
}

// take returns what was counted since the last call.
func (p *polls) take() counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.counts
	p.counts = counts{}
	return taken
}

// start starts the callers.
func (p *polls) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callers + others {
		running.Go(func() {
			time.Sleep(time.Duration(i) * (workTime + pollPause) / (callers + others)) // callers don't ask in step
			for n := 0; ctx.Err() == nil; n++ {
				p.call(ctx, i, n)
				time.Sleep(pollPause)
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// call sends one request to one of the running nodes.
func (p *polls) call(ctx context.Context, caller, n int) {
	nodes := p.w.running()
	if len(nodes) == 0 {
		return
	}
	path := site.PathLookup + "status"
	if caller >= callers {
		path = fmt.Sprintf("%spage-%d-%d", site.PathLookup, caller, n)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	id := fmt.Sprintf("poll-%d-%d", caller, n)
	req, err := site.Request(ctx, nodes[(caller+n)%len(nodes)].addr, http.MethodGet, path, key, id, "")
	if err != nil {
		return
	}
	end := "no answer"
	transport := &http.Transport{DisableKeepAlives: true}
	if resp, err := transport.RoundTrip(req); err == nil {
		end = fmt.Sprintf("status %d", resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			end = "cut"
		}
		_ = resp.Body.Close()
	}
	p.w.logf("%s %s: %s", id, path, end)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ends == nil {
		p.ends = make(map[string]int)
	}
	p.sent++
	p.ends[end]++
	if end == "status 200" {
		p.served++
	}
}
