package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// harm causes one trouble after the other, which overlap, for a time.
func (w *world) harm(length time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		kind, target := w.random.IntN(8), w.random.IntN(1000)
		lasts := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
		wg.Go(func() { w.cause(kind, target, lasts) })
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
}

// cause causes one trouble, and ends it.
func (w *world) cause(kind, target int, lasts time.Duration) {
	switch kind {
	case 0, 1:
		w.harmNode(target, lasts)
	case 2, 3:
		p := w.proxies[target%len(w.proxies)]
		p.set(trouble(1 + target/7%int(troubles-1)))
		time.Sleep(lasts)
		p.set(none)
	case 4:
		w.site.Store.SetFaults([]metastore.Faults{{Down: true}, {LoseAnswers: true}, {Delay: 150 * time.Millisecond}}[target%3])
		time.Sleep(lasts)
		w.site.Store.SetFaults(metastore.Faults{})
	case 5:
		s := append([]*modelserver.Server{w.site.Plain}, w.site.Models...)[target%4]
		s.SetFaults([]modelserver.Faults{{Shed: true}, {LoseAnswer: true}, {CutAfter: 1 + target%6}, {Unproven: true}, {Status: 500}}[target/4%5])
		time.Sleep(lasts)
		s.SetFaults(modelserver.Faults{})
	case 6:
		w.configure(fmt.Sprint("k", target))
		if target%2 == 0 {
			w.site.Store.Forget("keyed.op")
		}
	case 7:
		w.mu.Lock()
		w.version++
		version := w.version
		w.mu.Unlock()
		w.site.NameVersion(version)
	}
}

// heal ends all troubles that may still last.
func (w *world) heal() {
	for _, p := range w.proxies {
		p.set(none)
	}
	w.site.Store.SetFaults(metastore.Faults{})
	for _, s := range append([]*modelserver.Server{w.site.Plain}, w.site.Models...) {
		s.SetFaults(modelserver.Faults{})
	}
}
