package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// The metadata store is spared for the rest of each turn.
	turn      = 30 * time.Second
	storeTurn = 10 * time.Second

	longest        = 6 // times as long as a usual trouble: orders are late
	targets        = 10000
	outage         = 2 * time.Second
	afterOutage    = time.Second
	storeDown      = 0  // the first of the store's faults
	latest         = 10 // seconds more than two by which an order is late
	rowOfNames     = 3
	foreignWriters = 3
	storeDelay     = 150 * time.Millisecond

	registry = "keyed.servers"
	operator = "keyed.op"

	storeProxy = 0
	modelProxy = 2 // of the first model server
)

// cause brings one trouble about, chosen among its variants by the target, and ends it.
type cause func(w *world, target int, lasts time.Duration)

// The causes are equally probable. Those of the metadata store are apart.
var (
	usualTroubles = []cause{
		(*world).harmNode, (*world).harmNode, (*world).harmNode, (*world).reload,
		(*world).harmServerLink, (*world).harmServerLink,
		(*world).harmServer, (*world).harmServer, (*world).harmAllServers,
		(*world).restartServer, (*world).restartServer, (*world).delayOrders, (*world).leave,
		(*world).changeKey, (*world).nameVersions, (*world).putForeignEntries, (*world).evacuate,
		(*world).nameLimit, (*world).nameLimit, (*world).sayBadWords, (*world).sayLeaving, (*world).sayLeaving,
	}
	coreTroubles = []cause{(*world).harmStoreLink, (*world).harmStore, (*world).forget}
)

// pause follows the seeded schedule of a run, until its troubles are over.
func (w *world) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.over:
	}
}

// harm causes one trouble after the other, which overlap, for a time.
func (w *world) harm(length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(w.over)
	phase := time.Duration(0)
	if w.seed%2 == 1 {
		phase = storeTurn
	}
	harmsStore := false
	for start := time.Now(); time.Since(start) < length; {
		before := harmsStore
		harmsStore = (time.Since(start)+phase)%turn < storeTurn
		target := w.random.IntN(targets)
		lasts := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
		bring := w.choose(harmsStore)
		if before && !harmsStore {
			bring = (*world).leaveAfterOutage
		}
		wg.Go(func() { bring(w, target, lasts) })
		w.pause(time.Duration(50+w.random.IntN(300)) * time.Millisecond)
	}
}

// choose draws a cause of the next trouble.
func (w *world) choose(harmsStore bool) cause {
	list := usualTroubles
	if harmsStore {
		list = slices.Concat(usualTroubles, coreTroubles, coreTroubles)
	}
	return list[w.random.IntN(len(list))]
}

func (w *world) harmStoreLink(target int, lasts time.Duration) {
	defer w.core.open()()
	w.harmLink(w.proxies[storeProxy], target, lasts)
}

func (w *world) harmServerLink(target int, lasts time.Duration) {
	others := w.proxies[storeProxy+1:]
	w.harmLink(others[target%len(others)], target/len(others), lasts)
}

func (w *world) harmLink(p *proxy, target int, lasts time.Duration) {
	defer p.harmed.open()()
	p.set(trouble(1 + target%int(troubles-1)))
	w.pause(lasts)
	p.set(none)
}

func (w *world) harmStore(target int, lasts time.Duration) {
	defer w.core.open()()
	list := []metastore.Faults{{Down: true}, {LoseAnswers: true}, {Delay: storeDelay}}
	w.site.Store.SetFaults(list[target%len(list)])
	w.pause(lasts)
	w.site.Store.SetFaults(metastore.Faults{})
}

func (w *world) forget(target int, _ time.Duration) {
	w.site.Store.Forget([]string{operator, registry}[target%2])
}

// fault is what one trouble does to a server. Those of several troubles add up.
type fault struct {
	apply func(f *modelserver.Faults)
}

var serverFaults = []func(f *modelserver.Faults, target int){
	func(f *modelserver.Faults, _ int) { f.Shed = true },
	func(f *modelserver.Faults, _ int) { f.LoseAnswer = true },
	func(f *modelserver.Faults, target int) { f.CutAfter = 1 + target%6 },
	func(f *modelserver.Faults, _ int) { f.Unproven = true },
	func(f *modelserver.Faults, _ int) { f.Status = 500 },
	func(f *modelserver.Faults, _ int) { f.Unframed = true },
	func(f *modelserver.Faults, target int) { f.Unframed, f.CutAfter = true, 1+target%6 },
	func(f *modelserver.Faults, _ int) { f.Hang = true },
	func(f *modelserver.Faults, _ int) { f.CutAfter = -1 },
	func(f *modelserver.Faults, _ int) { f.Shed, f.Rest = true, askedRest },
}

// misbehave gives a server a fault for a time.
func (w *world) misbehave(s *modelserver.Server, lasts time.Duration, apply func(*modelserver.Faults)) {
	own := &fault{apply}
	w.mu.Lock()
	w.faults[s] = append(w.faults[s], own)
	w.applyFaults(s)
	w.mu.Unlock()
	w.pause(lasts)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[s] = slices.DeleteFunc(w.faults[s], func(f *fault) bool { return f == own })
	w.applyFaults(s)
}

// applyFaults joins a server's faults. w.mu is held.
func (w *world) applyFaults(s *modelserver.Server) {
	joined := modelserver.Faults{EndOn: endingPath}
	for _, f := range w.faults[s] {
		f.apply(&joined)
	}
	s.SetFaults(joined)
}

func (w *world) harmServer(target int, lasts time.Duration) {
	list := w.servers()
	choice := target / len(list)
	apply := serverFaults[choice%len(serverFaults)]
	w.misbehave(list[target%len(list)], lasts, func(f *modelserver.Faults) { apply(f, choice/len(serverFaults)) })
}

// misbehaveAll gives servers the same fault for a time.
func (w *world) misbehaveAll(servers []*modelserver.Server, lasts time.Duration, apply func(*modelserver.Faults)) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { w.misbehave(s, lasts, apply) })
	}
	wg.Wait()
}

// harmAllServers gives the servers different faults at the same time.
func (w *world) harmAllServers(target int, lasts time.Duration) {
	var wg sync.WaitGroup
	for i, s := range w.servers() {
		apply := serverFaults[(target+i)%len(serverFaults)]
		wg.Go(func() { w.misbehave(s, lasts/2, func(f *modelserver.Faults) { apply(f, target+i) }) })
	}
	wg.Wait()
}

// restartServer has a model server start again under its id, behind a cut.
func (w *world) restartServer(target int, lasts time.Duration) {
	i := target % len(w.site.Models)
	link := w.proxies[modelProxy+i]
	defer link.harmed.open()()
	link.set([]trouble{reset, silent}[target/len(w.site.Models)%2])
	w.site.Models[i].Restart()
	w.pause(lasts / 2)
	link.set(none)
}

// leave takes a model server's entry away for longer than the drain bound, unless another
// one has left, and has the server start again then.
func (w *world) leave(target int, lasts time.Duration) {
	if !w.leaving.TryLock() {
		return
	}
	defer w.leaving.Unlock()
	i := target % len(w.site.Models)
	w.site.Remove(i)
	end := w.away[i].open()
	w.pause(2*drainBound + lasts)
	end()
	test.NoError(w.t, w.site.Restart(i, false))
}

// evacuate has a failure domain evacuated for longer than its bound, and now and then taken back and
// given again at once.
func (w *world) evacuate(target int, lasts time.Duration) {
	if !w.evacuating.TryLock() {
		return
	}
	defer w.evacuating.Unlock()
	w.site.Evacuate(site.ZoneAside, true)
	end := w.evacuated.open()
	w.pause(evacuateBound + lasts)
	end()
	w.site.Evacuate(site.ZoneAside, false)
	if target%2 == 0 {
		w.site.Evacuate(site.ZoneAside, true)
		w.pause(lasts)
		w.site.Evacuate(site.ZoneAside, false)
	}
}

// leaveAfterOutage has a server leave soon after the metadata store came back, when nodes
// can't know yet whose entries only lapsed.
func (w *world) leaveAfterOutage(target int, lasts time.Duration) {
	w.harmStore(storeDown, outage)
	w.pause(afterOutage + lasts/4)
	w.leave(target, lasts)
}

// delayOrders leaves a server's orders unanswered and has them carried out late.
func (w *world) delayOrders(target int, lasts time.Duration) {
	s := w.site.Models[target%len(w.site.Models)]
	late := time.Duration(2+target%latest) * time.Second
	w.misbehave(s, time.Duration(1+target%longest)*lasts, func(f *modelserver.Faults) { f.LateOrders = late })
}

func (w *world) changeKey(target int, _ time.Duration) { w.configure(fmt.Sprint("k", target)) }

// nameVersions names one to three versions in a row.
func (w *world) nameVersions(target int, lasts time.Duration) {
	w.nameVersion()
	for range target % rowOfNames {
		w.pause(lasts)
		w.nameVersion()
	}
}

// foreignEntries are entries of other writers, which name no server to use.
var foreignEntries = []string{
	`not JSON`, "\xff\x00\xfe", `[]`, `{}`, `null`, `"models"`,
	`{"service":"models","address":17,"zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":["models"],"address":"127.0.0.1:1","zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":"models","address":"nowhere","zone":"north","state":"asleep","slots":8,"seq":1}`,
	`{"service":"unnamed","address":"127.0.0.1:1","zone":"north","state":"ready","slots":8,"seq":1}`,
	`{"service":"models","zone":"north","slots":"eight","state":"ready"}`,
	`{"service":"plain","address":"","zone":7,"state":true,"seq":"one"}`,
}

// putForeignEntries puts entries of another writer beside those of the servers, where they
// stay, and one in the place of a server's own, until its next.
func (w *world) putForeignEntries(target int, _ time.Duration) {
	entry := func(i int) []byte { return []byte(foreignEntries[(target+i)%len(foreignEntries)]) }
	for i := range foreignWriters {
		w.site.Store.Put(registry, fmt.Sprint("foreign-", i), entry(i))
	}
	w.site.Store.Put(registry, fmt.Sprint("model-", 1+target%len(w.site.Models)), entry(foreignWriters))
}

// heal ends the troubles that overlapping ones may have left.
func (w *world) heal() {
	for _, p := range w.proxies {
		p.set(none)
	}
	w.site.Store.SetFaults(metastore.Faults{})
}
