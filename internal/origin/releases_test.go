package origin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// platformTopic is the topic of the nodes in the platform's store.
type platformTopic struct {
	values map[string][]byte
	end    int64
	writes int
	down   bool
}

func (p *platformTopic) Put(_ context.Context, key string, value []byte) error {
	if p.down {
		return errors.New("the store is down")
	}
	p.end++
	p.writes++
	if value == nil {
		delete(p.values, key)
	} else {
		p.values[key] = value
	}
	return nil
}

func (p *platformTopic) PutIf(ctx context.Context, key string, value []byte, end int64) error {
	if end != p.end {
		return follow.ErrChanged
	}
	return p.Put(ctx, key, value)
}

// snapshot returns a read of the whole topic.
func (p *platformTopic) snapshot() *follow.Batch {
	b := &follow.Batch{Snapshot: true, ConfirmedAt: time.Now(), Next: p.end}
	for key, value := range p.values {
		b.Records = append(b.Records, follow.Record{Key: key, Value: value})
	}
	return b
}

// recordingSystem is a network whose nodes record releases. Each has its own view of the registry, which nodes that
// are silent don't read.
type recordingSystem struct {
	*network
	topic     *platformTopic
	listed    map[string]bool // releases that have an endpoint in the registry
	observers []*Observer
	copies    []*Releases
	recorders []*Recorder
}

func newRecordingSystem(size int, topic *platformTopic) *recordingSystem {
	s := &recordingSystem{
		network: newNetwork(size), topic: topic, listed: make(map[string]bool), observers: make([]*Observer, size),
		copies: make([]*Releases, size), recorders: make([]*Recorder, size),
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
	n, firstStart := s.nodes[i], len(s.topic.values) == 0
	observer, releases := NewObserver(), NewReleases()
	view := func(service string) View { return observer.View(service, retention, firstStart, time.Now()) }
	n.start()
	n.Service.config.View = func(service string) View { return releases.Extend(service, view(service), time.Now()) }
	s.observers[i], s.copies[i] = observer, releases
	s.recorders[i] = NewRecorder(RecorderConfig{
		Node: n.peer.Name, Topic: s.topic, TopicEnd: func() int64 { return s.topic.end }, Releases: releases, Origins: n.Service,
		Services: func() []string { return []string{service} }, View: view, Retention: func() time.Duration { return retention },
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
	if s.nodes[i].silent {
		return
	}
	now := time.Now()
	s.observers[i].RecordRead(now, recordInterval, now)
	for release := range s.listed {
		s.observers[i].Set("endpoint-"+release, Origin{service, release}, now)
	}
	s.copies[i].Apply(s.topic.snapshot(), func(_ *follow.Record, err error) { panic(err) })
}

// run runs the system for a time.
func (s *recordingSystem) run(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(recordInterval, time.Until(end)))
		s.read()
		for i, r := range s.recorders {
			if !s.nodes[i].silent {
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
		if !s.nodes[i].silent {
			o.Remove("endpoint-"+release, time.Now())
		}
	}
}

// resumes returns the release at which a stream without a record goes on; empty if it is refused.
func (s *recordingSystem) resumes(t *testing.T) string {
	return s.nodes[1].Find(t.Context(), KeyOf("yard", "r"), service).Release
}

// TestStreamsAreResumedAfterTheLossOfAllNodes checks that nodes which have lost all records know from the
// platform's store whether one release alone served before.
func TestStreamsAreResumedAfterTheLossOfAllNodes(t *testing.T) {
	const settled, replaced = 2 * settleTime, 10 * time.Second
	for _, size := range []int{6, 85, 295} {
		synctest.Test(t, func(t *testing.T) {
			s := newRecordingSystem(size, &platformTopic{values: make(map[string][]byte)})
			s.set("v1")
			s.run(t, settled)
			s.restart()
			s.set("v1")
			test.Eq(t, "v1", s.resumes(t), test.Sprint(size, " nodes, one release"))
			must.Eq(t, 1, s.topic.writes)

			s.run(t, settled)
			s.set("v2")
			s.run(t, settled)
			s.unlist("v1")
			s.run(t, replaced)
			s.restart()
			s.set("v2")
			test.Eq(t, "", s.resumes(t), test.Sprint("v1 served until a moment ago"))
			s.run(t, retention-settled)
			test.Eq(t, "", s.resumes(t), test.Sprint("streams of v1 may still be resumed"))
			s.run(t, 2*settled)
			s.restart()
			s.set("v2")
			test.Eq(t, "v2", s.resumes(t), test.Sprint("v1 is gone for good"))
			test.Eq(t, 3, s.topic.writes)
		})
	}
}

// TestReleasesAreRecordedAnew checks that records are written again after the store lost them, and that
// nodes which find none don't take those that they see for all that served.
func TestReleasesAreRecordedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &platformTopic{values: map[string][]byte{"another": {1}}, down: true}
		s := newRecordingSystem(6, topic)
		s.set("v1")
		s.run(t, 2*settleTime)
		topic.down = false
		s.run(t, 2*settleTime)
		must.MapLen(t, 2, topic.values)
		s.restart()
		s.set("v1")
		test.Eq(t, "", s.resumes(t), test.Sprint("another release may have served before the first record"))
		s.run(t, retention+settleTime)
		for range 2 {
			s.restart()
			s.set("v1")
			test.Eq(t, "v1", s.resumes(t))
			s.run(t, retention+settleTime)
			clear(topic.values)
			topic.values["another"] = []byte{1}
			s.run(t, settleTime)
			must.MapLen(t, 2, topic.values, must.Sprint("the store came back from an older copy"))
		}
	})
}

// TestReleaseRecordsAreChecked checks that invalid records are rejected and count as absent.
func TestReleaseRecordsAreChecked(t *testing.T) {
	key := releaseKey(Origin{service, "v1"})
	for i, value := range []string{"{", `{"service":"models"}`, `{"service":"models","release":"v2"}`} {
		rejected := 0
		c := NewReleases()
		c.Apply(&follow.Batch{Snapshot: true, ConfirmedAt: time.Now(), Records: []follow.Record{{Key: key, Value: []byte(value)}}},
			func(*follow.Record, error) { rejected++ })
		test.Eq(t, 1, rejected, test.Sprint(i))
		test.MapEmpty(t, c.all(), test.Sprint(fmt.Sprint(i)))
	}
}
