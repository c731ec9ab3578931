package soak

import (
	"strconv"
	"time"

	"github.com/cherryward/cherryward/standin/metastore"
)

func (w *world) faultStore(target int, lasts time.Duration) {
	defer w.storeDisturbances.open()()
	list := []metastore.Faults{{Down: true}, {LoseResponses: true}, {Delay: storeDelay}}
	w.site.Store.SetFaults(list[target%len(list)])
	w.pause(lasts)
	w.site.Store.SetFaults(metastore.Faults{})
}

func (w *world) compactStore(target int, _ time.Duration) {
	w.site.Store.Compact([]string{operator, registry}[target%2])
}

// restoreStore makes the metadata store lose what was written for a time, and come back in its next era. What
// operators and servers wrote is written again.
func (w *world) restoreStore(_ int, lasts time.Duration) {
	w.site.Store.Copy()
	w.pause(lasts)
	defer w.storeDisturbances.open()()
	link := w.proxies[storeProxy]
	link.set(reset)
	w.pause(afterOutage)
	w.mu.Lock()
	w.era++
	w.site.Restore(strconv.Itoa(w.era))
	w.version++
	w.site.Configure(w.version, w.keys...)
	if n := len(w.versions); n > 0 {
		w.site.SetTargetVersion(w.versions[n-1].version)
	}
	w.site.Evacuate(w.evacuatedZone(), w.evacuatedNow)
	w.mu.Unlock()
	link.set(none)
}

// removeAfterOutage removes a server shortly after an outage of the metadata store, when nodes can't
// distinguish yet between removed entries and entries that were not renewed during the outage.
func (w *world) removeAfterOutage(target int, lasts time.Duration) {
	w.faultStore(storeDown, outage)
	w.pause(afterOutage + lasts/4)
	w.removeServer(target, lasts)
}
