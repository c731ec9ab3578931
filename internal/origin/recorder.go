package origin

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// recordInterval is the time between two comparisons of the records with the registry, unless a release appears.
	recordInterval = 250 * time.Millisecond
	// writers is the number of nodes that write a record first, writerDelay by how much each of them waits
	// longer than the one before, and spreadPerNode the time over which the others are spread, for each
	// node of the system.
	writers       = 3
	writerDelay   = 300 * time.Millisecond
	spreadPerNode = 10 * time.Millisecond
	// rewriteDelay is the time from a write until it is made again if the copy still lacks it, and
	// retryDelay that from a failed one.
	rewriteDelay = 2 * time.Second
	retryDelay   = 500 * time.Millisecond
	writeTimeout = time.Second
	// removeDelay is the time from when a node reads that a release is retired until it removes the record. By then no
	// node begins streams at the release by a copy that has it as active (maxCopySkew).
	removeDelay = 45 * time.Second
	// maxCopyAge is the time by which the copy of the records may be older than that of the registry until it is
	// confirmed. It is above what the reads of the list of nodes take, 20 s, and below maxCopySkew.
	maxCopyAge = 22 * time.Second
)

// Topic stores the records of releases.
type Topic interface {
	// Put writes the newest record of a key.
	Put(ctx context.Context, key string, value []byte) error
	// PutIf is Put on condition that the topic still ends at the given offset; otherwise it fails. A nil
	// value removes the key.
	PutIf(ctx context.Context, key string, value []byte, end int64) error
}

// RecorderConfig holds the dependencies of a Recorder. All fields must be set.
type RecorderConfig struct {
	Node     string
	Topic    Topic
	Releases *Releases
	Observer *Observer
	// LearnReleases asks other nodes for the releases that have a record. It is called when the store can't be read.
	LearnReleases func(ctx context.Context)
	// Peers returns the names of the other nodes.
	Peers func() []string
	// Services returns the services whose releases are recorded.
	Services func() []string
	// Retention is that of the origins of streams.
	Retention func() time.Duration
	// Random returns a random number below n, which is positive.
	Random func(n int64) int64
	Now    func() time.Time
	Log    zerolog.Logger
}

// Recorder records the releases of services in the platform's store before streams begin at them, and removes the
// records of releases that are gone for as long as their streams may be resumed. All nodes have one: the first of a few
// nodes that notices a difference writes.
//
// A record is removed in two steps. A node that sees the release again before the second one writes the record anew, and
// the removal, which depends on the end of the topic, fails.
type Recorder struct {
	config RecorderConfig
	// due are the changes to write, and when, by key.
	due map[string]dueChange
}

// action is what a change does with a record.
type action int

const (
	activate action = iota // write it, so that streams may begin
	retire                 // write that no streams may begin any more
	remove
	markEra // write that the records of the store's era are complete
)

// String implements fmt.Stringer.
func (a action) String() string {
	return [...]string{activate: "activate", retire: "retire", remove: "remove", markEra: "mark_era"}[a]
}

// change is a change of a record.
type change struct {
	Origin
	action    action
	retention time.Duration // of an activated or retired release
}

// changes are the changes to make by key, as of a position in the topic.
type changes struct {
	byKey map[string]change
	end   int64
}

type dueChange struct {
	change
	at time.Time
}

// NewRecorder returns a recorder.
func NewRecorder(c RecorderConfig) *Recorder { return &Recorder{config: c} }

// Run keeps the records current until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.config.Observer.appeared:
		case <-ticker.C:
		}
		r.step(ctx)
	}
}

// step writes the changes that are due.
func (r *Recorder) step(ctx context.Context) {
	if !r.config.Releases.Loaded() {
		return
	}
	list := r.changes()
	if r.mustConfirm(list) {
		if err := r.config.Releases.Confirm(ctx); err != nil {
			r.config.LearnReleases(ctx)
		}
		list = r.changes()
	}
	now, due := r.config.Now(), make(map[string]dueChange)
	for key, c := range list.byKey {
		d, known := r.due[key]
		if !known || d.change != c {
			d = dueChange{c, now.Add(r.delay(key))}
		}
		if !now.Before(d.at) {
			d.at = r.write(ctx, key, c, list.end)
		}
		due[key] = d
	}
	r.due = due
}

// mustConfirm reports whether the copy of the records is to be confirmed first: another node may have written a record
// that streams wait for, or the copy is old beside that of the registry.
func (r *Recorder) mustConfirm(list changes) bool {
	for _, c := range list.byKey {
		if c.action == activate {
			return true
		}
	}
	return r.config.Observer.lastConfirmed().Sub(r.config.Releases.lastConfirmed()) > maxCopyAge
}

// changes returns the records to write and to remove.
func (r *Recorder) changes() changes {
	c := r.config.Releases.contents()
	list := changes{make(map[string]change), c.end}
	now, retention := r.config.Now(), r.config.Retention()
	for key, readAt := range c.unreadable {
		if now.Sub(readAt) > retention+removeDelay {
			list.byKey[key] = change{action: remove}
		}
	}
	for o, record := range c.stored {
		kept, sinceRead := record.retention(retention), now.Sub(record.readAt)
		switch {
		case !record.Retired && sinceRead > kept && r.config.Observer.absentFor(o, kept, now):
			list.byKey[releaseKey(o)] = change{o, retire, kept}
		case record.Retired && sinceRead > removeDelay && r.config.Observer.absentFor(o, kept+removeDelay, now):
			list.byKey[releaseKey(o)] = change{Origin: o, action: remove}
		}
	}
	if r.config.Releases.lacksEraMark() {
		list.byKey[eraKey] = change{action: markEra}
	}
	r.addMissing(&list, c.stored)
	return list
}

// addMissing adds the releases that have endpoints and no record by which streams may begin and be resumed for as long as
// they may be now.
func (r *Recorder) addMissing(list *changes, stored map[Origin]storedRelease) {
	retention := r.config.Retention()
	for _, service := range r.config.Services() {
		for _, release := range r.config.Observer.listedReleases(service) {
			o := Origin{service, release}
			record, found := stored[o]
			kept := record.retention(retention)
			if o.recordable() && (!found || record.Retired || record.RetentionMS < kept.Milliseconds()) {
				list.byKey[releaseKey(o)] = change{o, activate, kept}
			}
		}
	}
}

// delay returns how long this node leaves a change to others.
func (r *Recorder) delay(key string) time.Duration {
	others := r.config.Peers()
	if rank := slices.Index(rendezvous.TopOf(writers, key, r.config.Node, slices.Values(others)), r.config.Node); rank >= 0 {
		return time.Duration(rank) * writerDelay
	}
	return writers*writerDelay + time.Duration(r.config.Random(int64(len(others)+1)*int64(spreadPerNode)))
}

// write writes a change and reads it back, and returns when to write it again if it is found once more.
func (r *Recorder) write(ctx context.Context, key string, c change, end int64) time.Time {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.put(ctx, key, c, end)
	if err == nil || errors.Is(err, follow.ErrChanged) {
		err = errors.Join(err, r.config.Releases.Confirm(ctx))
	}
	r.config.Log.Info().Str("event", "release_recorded").Str("service", c.Service).Str("release", c.Release).
		Stringer("action", c.action).AnErr("error", err).Send()
	if err != nil {
		return r.config.Now().Add(retryDelay)
	}
	return r.config.Now().Add(rewriteDelay)
}

// put writes a change. A change that ends the use of a release is made only if the topic still ends where it was decided:
// another node may have seen the release again.
func (r *Recorder) put(ctx context.Context, key string, c change, end int64) error {
	record := releaseRecord{Origin: c.Origin, RetentionMS: c.retention.Milliseconds(), Node: r.config.Node}
	switch c.action {
	case remove:
		return r.config.Topic.PutIf(ctx, key, nil, end)
	case markEra:
		return r.config.Topic.PutIf(ctx, key, encode(eraRecord{follow.EraOf(end)}), end)
	case retire:
		record.Retired = true
		return r.config.Topic.PutIf(ctx, key, encode(record), end)
	}
	return r.config.Topic.Put(ctx, key, encode(record))
}

// encode encodes a record.
func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // Marshal never fails for the records
	}
	return value
}
