package origin

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// recordInterval is the time between two comparisons of the records with the view of the registry.
	recordInterval = 250 * time.Millisecond
	// writers is the number of nodes that write a record first, writerDelay by how much each of them waits
	// longer than the one before, and spreadPerNode the time over which the others are spread, for each
	// node of the system.
	writers       = 3
	writerDelay   = 1500 * time.Millisecond
	spreadPerNode = 10 * time.Millisecond
	// rewriteDelay is the time from a write until it is made again if the copy still lacks it, and
	// retryDelay that from a failed one. Copies that pass other nodes are up to 12 s old.
	rewriteDelay = 15 * time.Second
	retryDelay   = time.Second
	writeTimeout = time.Second
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
	TopicEnd func() int64 // offset up to which this node has read the topic
	Releases *Releases
	// Origins lists the other nodes.
	Origins *Service
	// Services returns the services whose streams may be resumed.
	Services func() []string
	// View returns this node's own view of a service.
	View func(service string) View
	// Retention is that of the origins of streams.
	Retention func() time.Duration
	// Random returns a random number below n, which is positive.
	Random func(n int64) int64
	Now    func() time.Time
	Log    zerolog.Logger
}

// Recorder records the releases of services in the platform's store, and removes the records of releases
// that are gone for as long as their streams may be resumed. All nodes have one: the first of a few nodes
// that notices a difference writes.
type Recorder struct {
	config RecorderConfig
	// due are the changes to write, and when, by key.
	due map[string]dueChange
}

// change is a record to write or to remove.
type change struct {
	releaseRecord
	remove bool
}

type dueChange struct {
	change
	at time.Time
}

// NewRecorder returns a recorder.
func NewRecorder(c RecorderConfig) *Recorder { return &Recorder{config: c} }

// Run keeps the records current until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.step(ctx)
		retry.Sleep(ctx, recordInterval)
	}
	return nil
}

// step writes the changes that are due.
func (r *Recorder) step(ctx context.Context) {
	if !r.config.Releases.Loaded() || !r.config.Origins.settled() {
		return
	}
	now, due := r.config.Now(), make(map[string]dueChange)
	for key, c := range r.changes() {
		d, known := r.due[key]
		if !known || d.change != c {
			d = dueChange{c, now.Add(r.delay(key))}
		}
		if !now.Before(d.at) {
			d.at = r.write(ctx, key, c)
		}
		due[key] = d
	}
	r.due = due
}

// changes returns by key what the records lack, and those that are no longer needed.
func (r *Recorder) changes() map[string]change {
	list, recorded := make(map[string]change), r.config.Releases.all()
	for _, service := range r.config.Services() {
		r.addMissing(list, service, recorded)
	}
	for key, record := range recorded {
		if r.isGone(record.Origin) {
			list[key] = change{releaseRecord: record, remove: true}
		}
	}
	return list
}

// addMissing adds to list the releases of a service that are not recorded. If all are, and this node can tell
// so, but no record states it, it adds one of them.
func (r *Recorder) addMissing(list map[string]change, service string, recorded map[string]releaseRecord) {
	view := r.config.View(service)
	var known, missing []Origin
	complete := false
	for _, release := range view.Releases {
		o := Origin{Service: service, Release: release}
		if !o.valid() {
			return
		}
		record, found := recorded[releaseKey(o)]
		complete = complete || record.Complete
		if found {
			known = append(known, o)
		} else {
			missing = append(missing, o)
		}
	}
	if len(missing) == 0 && (complete || len(known) == 0) {
		return
	}
	extended := r.config.Releases.Extend(service, view, r.config.Now())
	goesBack := extended.goesBack(r.config.Retention(), r.config.Releases.NewSystem())
	if len(missing) == 0 && goesBack {
		missing = known[:1]
	}
	for _, o := range missing {
		list[releaseKey(o)] = change{releaseRecord: releaseRecord{o, goesBack && len(missing) == 1, r.config.Node}}
	}
}

// isGone reports whether no endpoint of a release was listed for as long as its streams may be resumed.
func (r *Recorder) isGone(o Origin) bool {
	view := r.config.View(o.Service)
	return view.isCurrent() && view.ObservedMS >= r.config.Retention().Milliseconds() && len(view.Releases) < maxViewReleases &&
		!slices.Contains(view.Releases, o.Release)
}

// delay returns how long this node leaves a change to others.
func (r *Recorder) delay(key string) time.Duration {
	others := r.config.Origins.peerNames()
	if rank := slices.Index(rendezvous.TopOf(writers, key, r.config.Node, slices.Values(others)), r.config.Node); rank >= 0 {
		return time.Duration(rank) * writerDelay
	}
	return writers*writerDelay + time.Duration(r.config.Random(int64(len(others)+1)*int64(spreadPerNode)))
}

// write writes a change, and returns when to write it again if it is found once more.
func (r *Recorder) write(ctx context.Context, key string, c change) time.Time {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.put(ctx, key, c)
	r.config.Log.Info().Str("event", "release_recorded").Str("service", c.Service).Str("release", c.Release).
		Bool("complete", c.Complete).Bool("removed", c.remove).AnErr("error", err).Send()
	if err != nil {
		return r.config.Now().Add(retryDelay)
	}
	return r.config.Now().Add(rewriteDelay)
}

func (r *Recorder) put(ctx context.Context, key string, c change) error {
	if c.remove {
		return r.config.Topic.PutIf(ctx, key, nil, r.config.TopicEnd())
	}
	value, err := json.Marshal(c.releaseRecord)
	if err != nil {
		return eris.Wrap(err, "encode the record of a release")
	}
	return r.config.Topic.Put(ctx, key, value)
}
