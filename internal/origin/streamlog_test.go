package origin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

// memoryLog is a Log in memory.
type memoryLog struct {
	mu      sync.Mutex
	records []claim.Record
	down    bool
}

func (m *memoryLog) Append(_ context.Context, data []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errStoreDown
	}
	offset := int64(len(m.records))
	m.records = append(m.records, claim.Record{Offset: offset, Data: data})
	return offset, nil
}

func (m *memoryLog) Read(_ context.Context, from int64, _ int) ([]claim.Record, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, errStoreDown
	}
	return m.records[from:], int64(len(m.records)), nil
}

func (m *memoryLog) Tail(_ context.Context, count int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errStoreDown
	}
	return max(0, int64(len(m.records))-count), nil
}

// open returns a node's access to the log, for a service with one release.
func (m *memoryLog) open() *StreamLog {
	return NewStreamLog(StreamLogConfig{
		Log: m, IsShared: func(string) bool { return false }, Nodes: func() int { return 1 }, Spacing: func() time.Duration { return 0 },
		Retention: func() time.Duration { return retention }, Now: time.Now, Logger: zerolog.Nop(),
	})
}

// writeStreams has all nodes write the streams that they began.
func (s *recordingSystem) writeStreams(t *testing.T) {
	for _, n := range s.nodes {
		n.config.Streams.write(t.Context())
	}
}

// TestStreamsOfTwoReleasesAreResumedAfterTheLossOfAllNodes checks that streams which began before and after a second
// release joined go on at theirs when all nodes have started again, and that nothing is written for one release.
func TestStreamsOfTwoReleasesAreResumedAfterTheLossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(6, newPlatformTopic())
		s.set("v1")
		s.run(t, settleTime)
		begin := func(i int, release string) {
			s.nodes[i%6].Record(KeyOf("yard", fmt.Sprint(i)), Origin{service, release})
		}
		for i := range 50 {
			begin(i, "v1")
		}
		s.writeStreams(t)
		must.SliceEmpty(t, s.streams.records)
		s.set("v2")
		s.run(t, time.Second)
		for i := 50; i < 100; i++ {
			begin(i, "v2")
		}
		s.streams.down = true
		s.writeStreams(t)
		s.streams.down = false
		s.writeStreams(t)
		begin(100, "v2") // not written
		s.restart()
		s.set("v1")
		s.set("v2")
		for i := range 100 {
			r := s.nodes[(i+1)%6].Find(t.Context(), KeyOf("yard", fmt.Sprint(i)), service)
			test.True(t, i > 0 || r.Source == LoggedRecord)
			test.Eq(t, fmt.Sprint("v", 1+i/50), r.Release)
		}
		test.Eq(t, NotFound, s.nodes[1].Find(t.Context(), KeyOf("yard", "100"), service).Source)
		test.Eq(t, 6, len(s.streams.records))
		s.streams.down = true
		r := s.nodes[2].Find(t.Context(), KeyOf("yard", "101"), service)
		test.Error(t, r.Err)
	})
}

// TestUnreadableStreamsAreLeftOut checks that records of the log which are invalid don't hide the others.
func TestUnreadableStreamsAreLeftOut(t *testing.T) {
	m, now := &memoryLog{}, time.Now().UnixMilli()
	for _, data := range []string{"{", `[]`, fmt.Sprintf(`{"at_ms":%d,"streams":[{"service":"models","keys":["AAAAAAAAAAAAAAAAAAAAAQ"]}]}`, now), fmt.Sprintf(`{"at_ms":%d,"streams":[{"service":"models","release":"v1","keys":["AAAAAAAAAAAAAAAAAAAAAg"]}]}`, now)} {
		_, err := m.Append(t.Context(), []byte(data))
		must.NoError(t, err)
	}
	l := m.open()
	var found []record
	l.found = func(list []record) { found = append(found, list...) }
	must.NoError(t, l.load(t.Context()))
	must.SliceLen(t, 1, found)
	test.Eq(t, "v1", found[0].Release)
}
