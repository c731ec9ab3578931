// Package hostlist is a stand-in for the platform's host list.
//
// Changes become visible after a configured delay. Visible versions never decrease.
package hostlist

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/standin/fault"
)

// Config configures the list.
type Config struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// Faults are the faults that can be injected.
type Faults struct {
	fault.Process
	// ExtraLagMS is added to Lag for subsequent changes, milliseconds.
	ExtraLagMS int64 `json:"extra_lag_ms"`
}

var _ fault.Set = Faults{}

// change is a version of the list and the time at which it becomes visible.
type change struct {
	list hostwire.List
	at   time.Time
}

// List is the host list. It is safe for concurrent use.
type List struct {
	// Faults holds the active faults.
	Faults fault.Switch[Faults]
	cfg    Config

	mu      sync.Mutex
	shown   hostwire.List
	pending []change // in order of version
}

// New returns an empty list with version 0.
func New(cfg Config) *List { return &List{cfg: cfg} }

// Close does nothing, as the list has no goroutines.
func (l *List) Close() {}

// Handler returns a handler for the protocol of hostwire and, at fault.Path, the faults.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+hostwire.PathHosts, l.serve)
	return l.Faults.Gate(mux)
}

// serve returns the visible list, or status 304 if the client has that version.
func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	list := l.Shown()
	tag := hostwire.Tag(list.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	fault.WriteJSON(w, http.StatusOK, list)
}

// Shown returns the visible version of the list, with hosts in order of id.
func (l *List) Shown() hostwire.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show(time.Now())
	return l.shown
}

// show makes the pending versions visible whose delay has passed. l.mu is held.
func (l *List) show(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.shown = l.pending[0].list
		l.pending = l.pending[1:]
	}
}

// Set adds a host, or replaces the one with the same id.
func (l *List) Set(h hostwire.Host) {
	l.change(func(hosts []hostwire.Host) []hostwire.Host {
		at, found := slices.BinarySearchFunc(hosts, h.ID, byID)
		if found {
			hosts[at] = h
			return hosts
		}
		return slices.Insert(hosts, at, h)
	})
}

// Leaving sets the state of a host to hostwire.Leaving. Unknown ids are ignored.
func (l *List) Leaving(id string) {
	l.change(func(hosts []hostwire.Host) []hostwire.Host {
		if at, found := slices.BinarySearchFunc(hosts, id, byID); found {
			hosts[at].State = hostwire.Leaving
		}
		return hosts
	})
}

// Remove removes a host. Unknown ids are ignored.
func (l *List) Remove(id string) {
	l.change(func(hosts []hostwire.Host) []hostwire.Host {
		return slices.DeleteFunc(hosts, func(h hostwire.Host) bool { return h.ID == id })
	})
}

func byID(h hostwire.Host, id string) int { return strings.Compare(h.ID, id) }

// change adds a version that edit derives from a copy of the newest one.
func (l *List) change(edit func([]hostwire.Host) []hostwire.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.show(now)
	newest := l.shown
	if n := len(l.pending); n > 0 {
		newest = l.pending[n-1].list
	}
	extra := time.Duration(l.Faults.Get().ExtraLagMS) * time.Millisecond
	l.pending = append(l.pending, change{
		list: hostwire.List{Version: newest.Version + 1, Hosts: edit(slices.Clone(newest.Hosts))},
		at:   now.Add(l.cfg.Lag + extra),
	})
}
