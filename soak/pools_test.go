package soak

import (
	"slices"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// newRelease is the release of the first spare servers. The second ones have the first release, with IDs of their own.
const newRelease = "v3"

var (
	shapeReleases = []string{firstRelease, otherRelease}
	spareReleases = []string{newRelease, firstRelease}
)

// addPools starts spare servers: for each server of the shape, one of each spare release in the same failure domain. It
// returns the indices of the servers that come in and go out together: those of each release of the shape, and the
// spare ones of each release.
func (w *world) addPools() [][]int {
	pools := make([][]int, len(shapeReleases), len(shapeReleases)+len(spareReleases))
	for i, s := range w.site.Models {
		release := slices.Index(shapeReleases, s.Release())
		pools[release] = append(pools[release], i)
	}
	for _, release := range spareReleases {
		var spares []int
		for _, s := range w.site.Models[:w.shape.servers] {
			spares = append(spares, len(w.site.Models))
			_, err := w.site.AddModelIn(release, s.Zone())
			must.NoError(w.t, err)
		}
		pools = append(pools, spares)
	}
	return pools
}

// initPools prepares the states of the model servers. All but those of the shape are away.
func (w *world) initPools() {
	number := len(w.site.Models)
	w.removed, w.draining, w.away = make([]spans, number), make([]spans, number), make([]spans, number)
	w.absent, w.returns = make([]absence, number), make([]func(), number)
	for i := range number {
		if i < w.shape.servers {
			w.serving = append(w.serving, i)
		} else {
			w.leave(i)
		}
	}
}

// chosen returns the index of the model server that a fault's target selects: of those that take the same place in
// their pools, the one that came in last.
func (w *world) chosen(target int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serving[target%w.shape.servers]
}

// link returns the proxy of a model server. Those of spare servers follow that of the plain server.
func (w *world) link(i int) *proxy {
	if i >= w.shape.servers {
		i++
	}
	return w.proxies[modelProxy+i]
}

// absence counts the reasons for which a server has no entry.
type absence struct {
	reasons int
	end     func() // of the time without an entry
}

// remove deletes a server's entry until the returned function is called. Then the server restarts, unless there is
// another reason for its absence.
func (w *world) remove(i int) (restore func()) {
	w.listing.Lock()
	defer w.listing.Unlock()
	gone := &w.absent[i]
	if gone.reasons++; gone.reasons == 1 {
		w.site.Remove(i)
		gone.end = w.removed[i].open()
	}
	return func() {
		w.listing.Lock()
		defer w.listing.Unlock()
		if gone.reasons--; gone.reasons == 0 {
			gone.end()
			test.NoError(w.t, w.site.Restart(i, false))
		}
	}
}

// restart restarts a server that is not removed.
func (w *world) restart(i int) {
	w.listing.Lock()
	defer w.listing.Unlock()
	if w.absent[i].reasons == 0 {
		test.NoError(w.t, w.site.Restart(i, false))
	}
}

// leave takes a server out with its release, if it is there.
func (w *world) leave(i int) {
	if w.returns[i] != nil {
		return
	}
	end, restore := w.away[i].open(), w.remove(i)
	w.returns[i] = func() { end(); restore() }
	place := i % w.shape.servers
	for other := place; other < len(w.returns); other += w.shape.servers {
		if w.returns[other] == nil {
			w.serve(other)
		}
	}
}

// comeIn brings a server in with its release, if it is away.
func (w *world) comeIn(i int) {
	if w.returns[i] == nil {
		return
	}
	w.returns[i]()
	w.returns[i] = nil
	w.serve(i)
}

// serve makes a server the one that faults of its place select.
func (w *world) serve(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serving[i%w.shape.servers] = i
}

// servedBy returns the number of servers of a release that were not away between two times.
func (w *world) servedBy(release string, from, to time.Time) (count int) {
	for i, s := range w.site.Models {
		if s.Release() == release && w.away[i].noneWithin(from, to) {
			count++
		}
	}
	return count
}
