package origin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
)

// platformTopic is the topic of the nodes in the platform's store.
type platformTopic struct {
	records []follow.Record // in the order of their offsets
	era     int64
	writes  int
	down    bool
}

var errStoreDown = errors.New("the store is down")

// newPlatformTopic returns a topic that has one record of another kind.
func newPlatformTopic() *platformTopic {
	return &platformTopic{records: []follow.Record{{Key: "another", Value: []byte{1}}}}
}

func (p *platformTopic) end() int64 { return follow.Position(p.era, int64(len(p.records))) }

func (p *platformTopic) Put(_ context.Context, key string, value []byte) error {
	if p.down {
		return errStoreDown
	}
	p.records = append(p.records, follow.Record{Key: key, Value: value, Offset: p.end()})
	p.writes++
	return nil
}

func (p *platformTopic) PutIf(ctx context.Context, key string, value []byte, end int64) error {
	if end != p.end() {
		return follow.ErrChanged
	}
	return p.Put(ctx, key, value)
}

func (p *platformTopic) Newest(context.Context) (follow.Page, error) {
	if p.down {
		return follow.Page{}, errStoreDown
	}
	newest := make(map[string]follow.Record)
	for _, r := range p.records {
		newest[r.Key] = r
		if r.Value == nil {
			delete(newest, r.Key)
		}
	}
	return follow.Page{Records: slices.Collect(maps.Values(newest)), Next: p.end()}, nil
}

func (p *platformTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	switch {
	case p.down:
		return follow.Page{}, errStoreDown
	case follow.EraOf(from) != p.era:
		return follow.Page{}, follow.ErrCompacted
	}
	return follow.Page{Records: slices.Clone(p.records[follow.OffsetOf(from):]), Next: p.end()}, nil
}

// restoreEmpty has the store come back from a copy that has no records of releases.
func (p *platformTopic) restoreEmpty() {
	p.era++
	p.records = []follow.Record{{Key: "another", Value: []byte{1}, Offset: follow.Position(p.era, 0)}}
}

// recorded returns the keys of the records of releases.
func (p *platformTopic) recorded() (keys []string) {
	newest, _ := p.Newest(context.Background())
	for _, r := range newest.Records {
		if IsReleaseRecord(r.Key) {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// nodeTopic is the topic as a node reaches it.
type nodeTopic struct {
	*platformTopic
	node *node
}

func (t nodeTopic) Put(ctx context.Context, key string, value []byte) error {
	if t.node.refused {
		return errStoreDown
	}
	return t.platformTopic.Put(ctx, key, value)
}

func (t nodeTopic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	if t.node.refused {
		return follow.Page{}, errStoreDown
	}
	if t.node.silent.Load() {
		<-ctx.Done()
		return follow.Page{}, ctx.Err()
	}
	return t.platformTopic.Read(ctx, from, wait)
}

// manyNodes is the number of nodes above which the nodes of a recordingSystem act each manyNodesInterval, which saves
// processor time. It is shorter than the time between two reads that counts as a gap.
const (
	manyNodes         = 100
	manyNodesInterval = time.Second
)

// recordingSystem is a network whose nodes record releases. Each has its own view of the registry, which nodes that
// are silent don't read.
type recordingSystem struct {
	*network
	topic     *platformTopic
	listed    map[string]bool // releases that have an endpoint in the registry
	observers []*Observer
	copies    []*Releases
	recorders []*Recorder
	gates     []*Gate
}

func newRecordingSystem(size int, topic *platformTopic) *recordingSystem {
	s := &recordingSystem{
		network: newNetwork(size), topic: topic, listed: make(map[string]bool), observers: make([]*Observer, size),
		copies: make([]*Releases, size), recorders: make([]*Recorder, size), gates: make([]*Gate, size),
	}
	s.restart()
	return s
}

// restart starts all nodes, which have lost what they knew, at the same time, with an empty registry.
func (s *recordingSystem) restart() {
	clear(s.listed)
	for i := range s.nodes {
		s.startNode(i)
	}
	s.read()
}

// restartNode starts a node, which has lost what it knew.
func (s *recordingSystem) restartNode(i int) {
	s.startNode(i)
	s.readAt(i)
}

func (s *recordingSystem) startNode(i int) {
	n, observer := s.nodes[i], NewObserver()
	keep := func() time.Duration { return retention }
	releases := NewReleases(ReleasesConfig{
		Topic: nodeTopic{s.topic, n}, Spacing: func() time.Duration { return time.Duration(len(s.nodes)) * time.Millisecond },
		Retention: keep, Now: time.Now,
	})
	s.gates[i] = &Gate{Releases: releases, Observer: observer, Retention: keep, IsIsolated: func() bool { return n.silent.Load() }, Now: time.Now}
	n.start()
	n.Service.config.Releases, n.Service.config.Sole = releases, s.gates[i].Sole
	n.Service.config.Streams.config.IsShared = s.gates[i].IsShared
	s.observers[i], s.copies[i] = observer, releases
	s.recorders[i] = NewRecorder(RecorderConfig{
		Node: n.peer.Name, Topic: nodeTopic{s.topic, n}, Releases: releases, Observer: observer, LearnReleases: n.Service.LearnReleases, Peers: n.peerNames,
		Services: func() []string { return []string{service} }, Retention: keep,
		Random: func(limit int64) int64 { return limit * int64(i) / int64(len(s.nodes)) }, Now: time.Now, Log: zerolog.Nop(),
	})
}

// read has all nodes read the registry and the topic.
func (s *recordingSystem) read() {
	for i := range s.nodes {
		s.readAt(i)
	}
}

func (s *recordingSystem) readAt(i int) {
	if s.nodes[i].silent.Load() {
		return
	}
	now := time.Now()
	s.observers[i].RecordRead(now, recordInterval, now)
	for release := range s.listed {
		s.observers[i].Set("endpoint-"+release, Origin{service, release}, now)
	}
	if s.nodes[i].refused {
		return // it reads the registry from others, and the records later
	}
	page, err := s.topic.Newest(context.Background())
	if err != nil {
		return
	}
	batch := &follow.Batch{Snapshot: true, Records: page.Records, ConfirmedAt: now, Next: page.Next}
	s.copies[i].Apply(batch, func(_ *follow.Record, err error) { panic(err) })
}

// run runs the system for a time.
func (s *recordingSystem) run(t *testing.T, d time.Duration) {
	interval := recordInterval
	if len(s.nodes) > manyNodes {
		interval = manyNodesInterval
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(interval, time.Until(end)))
		s.read()
		for i, r := range s.recorders {
			if !s.nodes[i].silent.Load() {
				r.step(t.Context())
			}
		}
	}
}

// set lists an endpoint of a release.
func (s *recordingSystem) set(release string) {
	s.listed[release] = true
	s.read()
}

// unlist removes the endpoint of a release.
func (s *recordingSystem) unlist(release string) {
	delete(s.listed, release)
	for i, o := range s.observers {
		if !s.nodes[i].silent.Load() {
			o.Remove("endpoint-"+release, time.Now())
		}
	}
}

// resumes returns the release at which a stream without a record goes on; empty if it is refused.
func (s *recordingSystem) resumes(t *testing.T) string {
	return s.nodes[1].Find(t.Context(), KeyOf("yard", "r"), service).Release
}
