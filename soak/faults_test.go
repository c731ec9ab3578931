package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// In each turn, the metadata store has faults for storeTurn and none for the rest.
	turn      = 30 * time.Second
	storeTurn = 10 * time.Second

	lateFactor       = 6 // times the duration of other faults, for delayed orders
	targetRange      = 10000
	outage           = 2 * time.Second
	afterOutage      = time.Second
	storeDown        = 0  // index of the store's first fault
	lateRange        = 10 // orders are delayed by 2 s and less than this many seconds more
	maxExtraVersions = 3
	foreignWriters   = 3
	storeDelay       = 150 * time.Millisecond

	registry = "keyed.servers"
	operator = "keyed.op"

	storeProxy = 0
	modelProxy = 2 // index of the first model server's proxy
)

// faultFunc injects a fault, whose variant is selected by target, and removes it after a time.
type faultFunc func(w *world, target int, lasts time.Duration)

// The kinds of faults, each with the same probability. Those of the metadata store are separate.
var (
	commonFaults = []faultFunc{
		(*world).signalNode, (*world).signalNode, (*world).signalNode, (*world).reloadNodes,
		(*world).faultServerLink, (*world).faultServerLink,
		(*world).faultServer, (*world).faultServer, (*world).faultAllServers,
		(*world).restartServer, (*world).restartServer, (*world).delayOrders, (*world).removeServer,
		(*world).replaceKey, (*world).setVersions, (*world).putForeignEntries, (*world).evacuate,
		(*world).signalLimit, (*world).signalLimit, (*world).signalBrittle, (*world).sendInvalidSignals, (*world).signalDraining, (*world).signalDraining,
	}
	storeFaults = []faultFunc{(*world).faultStoreLink, (*world).faultStore, (*world).compactStore, (*world).restoreStore}
)

// pause sleeps, as scheduled by the seed, but returns early when fault injection ends.
func (w *world) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.faultsEnded:
	}
}

// injectFaults injects random overlapping faults for a time.
func (w *world) injectFaults(length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(w.faultsEnded)
	phase := time.Duration(0)
	if w.seed%2 == 1 {
		phase = storeTurn
	}
	wg.Go(w.sendCrowds)
	if w.changes != nil {
		wg.Go(func() { w.changes.run(length) })
		if w.changes.only {
			w.pause(length)
			return
		}
	}
	storeFaulty := false
	for start := time.Now(); time.Since(start) < length; {
		before := storeFaulty
		storeFaulty = (time.Since(start)+phase)%turn < storeTurn
		target := w.random.IntN(targetRange)
		lasts := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
		inject := w.pickFault(storeFaulty)
		if before && !storeFaulty {
			inject = (*world).removeAfterOutage
		}
		wg.Go(func() {
			defer w.acting.open()()
			inject(w, target, lasts)
		})
		w.pause(time.Duration(50+w.random.IntN(300)) * time.Millisecond)
	}
}

// pickFault returns a random kind of fault.
func (w *world) pickFault(storeFaulty bool) faultFunc {
	list := commonFaults
	if storeFaulty {
		list = slices.Concat(commonFaults, storeFaults, storeFaults)
	}
	return list[w.random.IntN(len(list))]
}

func (w *world) faultStoreLink(target int, lasts time.Duration) {
	defer w.storeDisturbances.open()()
	w.faultLink(w.proxies[storeProxy], target, lasts)
}

func (w *world) faultServerLink(target int, lasts time.Duration) {
	others := slices.Clone(w.proxies[storeProxy+1 : modelProxy+w.shape.servers+1])
	for i := range w.shape.servers {
		others[modelProxy-1+i] = w.link(w.chosen(i))
	}
	w.faultLink(others[target%len(others)], target/len(others), lasts)
}

func (w *world) faultLink(p *proxy, target int, lasts time.Duration) {
	defer p.disturbances.open()()
	p.set(linkFault(1 + target%int(linkFaultCount-1)))
	w.pause(lasts)
	p.set(none)
}

// serverFault is a fault of a server. The faults of a server are combined.
type serverFault struct {
	apply func(f *modelserver.Faults)
}

var serverFaultKinds = []func(f *modelserver.Faults, target int){
	func(f *modelserver.Faults, _ int) { f.RejectRequests = true },
	func(f *modelserver.Faults, _ int) { f.LoseResponse = true },
	func(f *modelserver.Faults, target int) { f.CutAfter = 1 + target%6 },
	func(f *modelserver.Faults, _ int) { f.UnconfirmedError = true },
	func(f *modelserver.Faults, _ int) { f.Status = 500 },
	func(f *modelserver.Faults, _ int) { f.Unframed = true },
	func(f *modelserver.Faults, target int) { f.Unframed, f.CutAfter = true, 1+target%6 },
	func(f *modelserver.Faults, _ int) { f.Hang = true },
	func(f *modelserver.Faults, _ int) { f.CutAfter = -1 },
	func(f *modelserver.Faults, _ int) { f.RejectRequests, f.RetryAfter = true, retryAfterSeconds },
	func(f *modelserver.Faults, target int) {
		forms := modelserver.EndlessForms()
		f.Endless = forms[target%len(forms)]
	},
	func(f *modelserver.Faults, target int) { f.BrokenHead = 1 + target%modelserver.BrokenHeads },
}

// injectServerFault injects a fault into a server for a time.
func (w *world) injectServerFault(s *modelserver.Server, lasts time.Duration, apply func(*modelserver.Faults)) {
	own := &serverFault{apply}
	w.mu.Lock()
	w.faults[s] = append(w.faults[s], own)
	w.applyFaults(s)
	w.mu.Unlock()
	w.pause(lasts)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[s] = slices.DeleteFunc(w.faults[s], func(f *serverFault) bool { return f == own })
	w.applyFaults(s)
}

// applyFaults sets the combination of a server's current faults. w.mu is held.
func (w *world) applyFaults(s *modelserver.Server) {
	joined := modelserver.Faults{CrashOnSuffix: crashPath}
	for _, f := range w.faults[s] {
		f.apply(&joined)
	}
	s.SetFaults(joined)
}

func (w *world) faultServer(target int, lasts time.Duration) {
	list := []*modelserver.Server{w.site.Plain}
	for i := range w.shape.servers {
		list = append(list, w.site.Models[w.chosen(i)])
	}
	choice := target / len(list)
	apply := serverFaultKinds[choice%len(serverFaultKinds)]
	w.injectServerFault(list[target%len(list)], lasts, func(f *modelserver.Faults) { apply(f, choice/len(serverFaultKinds)) })
}

// injectServersFault injects the same fault into several servers for a time.
func (w *world) injectServersFault(servers []*modelserver.Server, lasts time.Duration, apply func(*modelserver.Faults)) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { w.injectServerFault(s, lasts, apply) })
	}
	wg.Wait()
}

// faultAllServers injects different faults into all servers at the same time.
func (w *world) faultAllServers(target int, lasts time.Duration) {
	var wg sync.WaitGroup
	for i, s := range w.servers() {
		apply := serverFaultKinds[(target+i)%len(serverFaultKinds)]
		wg.Go(func() { w.injectServerFault(s, lasts/2, func(f *modelserver.Faults) { apply(f, target+i) }) })
	}
	wg.Wait()
}

// restartServer restarts a model server under the same id while its connections are interrupted.
func (w *world) restartServer(target int, lasts time.Duration) {
	i := w.chosen(target)
	link := w.link(i)
	defer link.disturbances.open()()
	link.set([]linkFault{reset, dropAll}[target/w.shape.servers%2])
	w.site.Models[i].Restart()
	w.pause(lasts / 2)
	link.set(none)
}

// removeServer removes a model server's entry for longer than the drain bound, and then restarts the
// server. It does nothing while another server is removed or draining.
func (w *world) removeServer(target int, lasts time.Duration) {
	if !w.removing.TryLock() {
		return
	}
	defer w.removing.Unlock()
	restore := w.remove(w.chosen(target))
	w.pause(2*w.bounds.Drain + lasts)
	restore()
}

// evacuate orders the evacuation of a failure domain for longer than the evacuation bound. For every
// other target it repeats the order immediately after it is revoked.
func (w *world) evacuate(target int, lasts time.Duration) {
	if !w.evacuating.TryLock() {
		return
	}
	defer w.evacuating.Unlock()
	w.setEvacuated(true)
	end := w.evacuated.open()
	w.pause(w.bounds.Evacuate + lasts)
	end()
	w.setEvacuated(false)
	if target%2 == 0 {
		w.setEvacuated(true)
		w.pause(lasts)
		w.setEvacuated(false)
	}
}

// setEvacuated orders the evacuation, or its end. The order is written again if the store loses it.
func (w *world) setEvacuated(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuatedNow = evacuated
	w.site.Evacuate(w.evacuatedZone(), evacuated)
}

// delayOrders makes a server execute orders late and without a response.
func (w *world) delayOrders(target int, lasts time.Duration) {
	s := w.site.Models[w.chosen(target)]
	late := time.Duration(2+target%lateRange) * time.Second
	w.injectServerFault(s, time.Duration(1+target%lateFactor)*lasts, func(f *modelserver.Faults) { f.LateOrders = late })
}

func (w *world) replaceKey(target int, _ time.Duration) { w.configure(fmt.Sprint("k", target)) }

// setVersions sets one to three target versions in sequence.
func (w *world) setVersions(target int, lasts time.Duration) {
	w.setVersion()
	for range target % maxExtraVersions {
		w.pause(lasts)
		w.setVersion()
	}
}

// foreignEntries are registry entries of other writers that don't describe a usable server.
var foreignEntries = []string{
	`not JSON`, "\xff\x00\xfe", `[]`, `{}`, `null`, `"models"`,
	`{"service":"models","address":17,"zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":["models"],"address":"127.0.0.1:1","zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":"models","address":"nowhere","zone":"north","state":"asleep","slots":8,"seq":1}`,
	`{"service":"unnamed","address":"127.0.0.1:1","zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":"models","zone":"north","slots":"eight","state":"ready"}`,
	`{"service":"plain","address":"","zone":7,"state":true,"seq":"one"}`,
}

// putForeignEntries writes invalid entries under separate keys, where they stay, and one under a
// server's key, where it stays until the server's next heartbeat.
func (w *world) putForeignEntries(target int, _ time.Duration) {
	entry := func(i int) []byte { return []byte(otherEntries[(target+i)%len(otherEntries)]) }
	for i := range foreignWriters {
		w.site.Store.Put(registry, fmt.Sprint("foreign-", i), entry(i))
	}
	w.site.Store.Put(registry, w.site.Models[w.chosen(target)].ID(), entry(foreignWriters))
}

// heal removes the faults that remain after overlapping faults have ended.
func (w *world) heal() {
	for _, p := range w.proxies {
		p.set(none)
	}
	w.site.Store.SetFaults(metastore.Faults{})
}
