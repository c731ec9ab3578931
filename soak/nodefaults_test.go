package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// pollInterval is the interval at which a fault asks for nodes that others hold, and a client for a node.
	pollInterval = 10 * time.Millisecond
	// breakTime is the time for which servers break off streams.
	breakTime = 500 * time.Millisecond
)

// startNodes starts the nodes: one after the other, or each after its delay if releases change. Then it returns when
// the first one listens, and each node has a link of its own to the metadata store.
func (w *world) startNodes() {
	for range w.shape.nodes {
		w.nodes = append(w.nodes, &process{})
	}
	if w.changes == nil {
		for i := range w.nodes {
			w.start(i)
		}
		return
	}
	delays := w.changes.startDelays()
	var first sync.WaitGroup
	first.Add(1)
	listens := sync.OnceFunc(first.Done)
	for i, p := range w.nodes {
		var err error
		p.link, err = newProxy(w.proxies[storeProxy].addr())
		must.NoError(w.t, err)
		p.busy = true
		w.restarts.Go(func() {
			defer p.disturbances.open()()
			w.pause(delays[i])
			w.start(i)
			w.release(p)
			listens()
		})
	}
	first.Wait()
}

// bootFileOf returns the boot file of the i-th node, with its own link to the metadata store if it has one.
func (w *world) bootFileOf(i int) string {
	file := w.bootFile(i)
	if link := w.nodes[i].link; link != nil {
		return strings.Replace(file, w.proxies[storeProxy].addr(), link.addr(), 1)
	}
	return file
}

// anyNode returns a random node and its address, as a load balancer does. It waits while no node has started.
func (w *world) anyNode(random *rand.Rand) (node int, addr string) {
	for {
		node = random.IntN(len(w.nodes))
		if addr := w.nodes[node].addr.Load(); addr != nil {
			return node, *addr
		}
		time.Sleep(pollInterval)
	}
}

// separate cuts a node off from the metadata store, or suspends it, for a time.
func (c *releaseChanges) separate(s *releaseStep) {
	i := s.node
	for tries := 0; !c.claim(c.nodes[i]); tries++ {
		if tries == len(c.nodes) {
			return
		}
		i = (i + 1) % len(c.nodes)
	}
	p := c.nodes[i]
	defer c.release(p)
	defer c.acting.open()()
	defer p.disturbances.open()()
	if s.around == oneSuspended {
		p.signal(syscall.SIGSTOP)
		c.hold(s.apart)
		p.signal(syscall.SIGCONT)
		return
	}
	p.link.set(s.cut)
	c.hold(s.apart)
	p.link.set(none)
}

// reserveNodes waits until no fault has a node, and keeps others from having one until the nodes have been killed and started. It returns
// false if fault injection ends meanwhile.
func (w *world) reserveNodes() bool {
	w.setReserved(true)
	for w.anyBusy() {
		select {
		case <-w.faultsEnded:
			w.setReserved(false)
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

func (w *world) setReserved(reserved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved = reserved
	if reserved {
		close(w.wanted)
	} else {
		w.wanted = make(chan struct{})
	}
}

// anyBusy reports whether a fault has a node.
func (w *world) anyBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.nodes {
		if p.busy {
			return true
		}
	}
	return false
}

// hold is pause for a fault that has a node. It returns early when another one needs all nodes.
func (w *world) hold(d time.Duration) {
	w.mu.Lock()
	wanted := w.wanted
	w.mu.Unlock()
	select {
	case <-wanted:
	case <-time.After(d):
	case <-w.faultsEnded:
	}
}

// killNodes kills all nodes together. The returned function starts each of them after its delay, and releases them.
func (w *world) killNodes() (restart func(delays []time.Duration)) {
	var ends []func()
	w.mu.Lock()
	w.losses = append(w.losses, time.Now())
	w.mu.Unlock()
	for _, p := range w.nodes {
		ends = append(ends, p.disturbances.open())
		p.addr.Store(nil)
		p.signal(syscall.SIGKILL)
	}
	return func(delays []time.Duration) {
		defer w.setReserved(false)
		var wg sync.WaitGroup
		for i, p := range w.nodes {
			wg.Go(func() {
				defer ends[i]()
				<-p.ended
				w.pause(delays[i])
				w.start(i)
			})
		}
		wg.Wait()
	}
}

// breakStreams makes servers break off streams, or resets their connections, beside what follows.
func (c *releaseChanges) breakStreams(s *releaseStep) {
	models := c.site.Models
	switch s.breaks {
	case brokenByReset:
		for i := range models {
			c.restarts.Go(func() {
				link := c.link(i)
				defer link.disturbances.open()()
				link.set(reset)
				c.pause(resetTime)
				link.set(none)
			})
		}
	case brokenByServers:
		c.restarts.Go(func() {
			c.injectServersFault(models, breakTime, func(f *modelserver.Faults) { f.CutAfter = s.events })
		})
	}
}
