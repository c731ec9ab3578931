package telemetry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/runs"
)

const (
	// maxNamedAccounts is the maximum number of named accounts: client accounts that
	// have series of their own.
	maxNamedAccounts = 32
	// otherAccounts is the label that the remaining accounts share. An account with
	// this name is counted there as well.
	otherAccounts = "other"
	// rankInterval is the time between two updates of the named accounts.
	rankInterval = 10 * time.Minute
	// trafficDecay is the divisor of past traffic at each update.
	trafficDecay = 2
	// minTrafficRatio is the ratio to a named account's traffic that another account
	// must exceed to replace it, so that accounts with similar traffic don't
	// alternate.
	minTrafficRatio = 2
)

// ranking selects the named accounts by traffic. It is safe for concurrent use.
type ranking struct {
	set        *metrics.Set
	mu         sync.RWMutex
	byName     map[string]*account
	other      account // the shared series of all accounts that are not named
	named      int
	nextUpdate time.Time // time of the next update
}

// account is the state of one client account.
type account struct {
	name    string
	traffic atomic.Uint64 // recent traffic, in tokens
	named   bool
	classes [runs.Classes]*series // only of a named account; created on first use
}

func newRanking(set *metrics.Set, now time.Time) *ranking {
	return &ranking{
		set:        set,
		byName:     make(map[string]*account),
		other:      account{name: otherAccounts},
		nextUpdate: now.Add(rankInterval),
	}
}

// series adds to an account's traffic and returns the series for its requests of a
// class. The common case only takes the read lock.
func (r *ranking) series(name string, class runs.Class, traffic uint64, now time.Time) *series {
	r.mu.RLock()
	a, known := r.byName[name]
	var s *series
	if known {
		a.traffic.Add(traffic)
		s = r.seriesAccount(a).classes[class]
	}
	updateDue := !now.Before(r.nextUpdate)
	r.mu.RUnlock()
	if s != nil && !updateDue {
		return s
	}
	return r.seriesSlow(name, class, traffic, known, now)
}

// seriesAccount returns the account with the series for a's requests: a itself if it is
// named, else the shared one.
func (r *ranking) seriesAccount(a *account) *account {
	if a.named {
		return a
	}
	return &r.other
}

// seriesSlow is the part of series that takes the write lock: it updates the ranking once
// rankInterval has passed, and creates the account and series if they don't exist.
func (r *ranking) seriesSlow(name string, class runs.Class, traffic uint64, counted bool, now time.Time) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(name)
	if !counted {
		a.traffic.Add(traffic)
	}
	if !now.Before(r.nextUpdate) {
		r.nextUpdate = now.Add(rankInterval)
		r.update()
	}
	h := r.seriesAccount(a)
	if h.classes[class] == nil {
		h.classes[class] = newSeries(r.set, h.name, class)
	}
	return h.classes[class]
}

func (r *ranking) account(name string) *account {
	a, ok := r.byName[name]
	if ok {
		return a
	}
	a = &account{name: name}
	r.byName[name] = a
	if r.named < maxNamedAccounts && name != otherAccounts {
		r.addNamed(a)
	}
	return a
}

// update replaces named accounts with accounts whose traffic is larger by more than
// minTrafficRatio, decays the traffic of all accounts, and evicts accounts without recent
// traffic.
func (r *ranking) update() {
	named, unnamed := r.partition()
	slices.SortFunc(named, func(a, b *account) int { return compareByTraffic(b, a) })
	slices.SortFunc(unnamed, compareByTraffic)
	for _, a := range unnamed {
		if r.named < maxNamedAccounts {
			r.addNamed(a)
			continue
		}
		if len(named) == 0 || a.traffic.Load() <= minTrafficRatio*named[0].traffic.Load() {
			break
		}
		r.removeNamed(named[0])
		r.addNamed(a)
		named = named[1:]
	}
	for name, a := range r.byName {
		a.traffic.Store(a.traffic.Load() / trafficDecay)
		if a.traffic.Load() == 0 {
			r.evict(name, a)
		}
	}
}

// partition returns the named accounts, and the others that can become named.
func (r *ranking) partition() (named, unnamed []*account) {
	for _, a := range r.byName {
		switch {
		case a.named:
			named = append(named, a)
		case a.name != otherAccounts:
			unnamed = append(unnamed, a)
		}
	}
	return named, unnamed
}

// compareByTraffic orders accounts by descending traffic, then by name.
func compareByTraffic(a, b *account) int {
	return cmp.Or(cmp.Compare(b.traffic.Load(), a.traffic.Load()), cmp.Compare(a.name, b.name))
}

func (r *ranking) addNamed(a *account) {
	a.named = true
	r.named++
}

// removeNamed unregisters an account's series. Their counts are not added to the shared
// series, since that would show as a spike in the rates.
func (r *ranking) removeNamed(a *account) {
	a.named = false
	r.named--
	for class, s := range a.classes {
		if s != nil {
			s.unregister(r.set)
			a.classes[class] = nil
		}
	}
}

func (r *ranking) evict(name string, a *account) {
	if a.named {
		r.removeNamed(a)
	}
	delete(r.byName, name)
}
