package origin

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestRestoredStoreIsNoProofBeforeTheConfiguration checks that a node which starts after the store came back from an older
// copy takes no release for the only one by the short retention that it assumes before it has a configuration.
func TestRestoredStoreIsNoProofBeforeTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := newPlatformTopic()
		topic.restoreEmpty()
		s := newRecordingSystem(1, topic)
		current := retention / 4
		keep := func() time.Duration { return current }
		releases := NewReleases(ReleasesConfig{
			Topic: nodeTopic{topic, s.nodes[0]}, Spacing: func() time.Duration { return 0 }, Retention: keep, Now: time.Now,
		})
		gate := &Gate{Releases: releases, Observer: s.observers[0], Retention: keep, Now: time.Now}
		must.NoError(t, topic.Put(t.Context(), releaseKey(Origin{service, "v1"}), []byte(`{"service":"models","release":"v1"}`)))
		page, err := topic.Newest(t.Context())
		must.NoError(t, err)
		releases.Apply(&follow.Batch{Snapshot: true, Records: page.Records, ConfirmedAt: time.Now(), Next: page.Next}, func(*follow.Record, error) {})
		current = retention // the configuration has come
		time.Sleep(retention / 2)
		release, err := gate.Sole(t.Context(), service)
		must.NoError(t, err)
		test.Eq(t, "", release)
	})
}

// TestReleaseSeenBeforeTheRetentionIsNotAbsentForLonger checks that an observer which has forgotten when a release left
// doesn't take it for absent for longer than it was.
func TestReleaseSeenBeforeTheRetentionIsNotAbsentForLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	o, v1 := NewObserver(), Origin{service, "v1"}
	o.RecordRead(now, time.Second, now)
	now = now.Add(time.Hour)
	o.Set("a", v1, now)
	o.Remove("a", now)
	now = now.Add(retention + time.Second)
	o.RecordRead(now, time.Second, now)
	test.False(t, o.absentFor(v1, retention+removeDelay, now))
	o.seenReleases(service, retention, now)
	test.False(t, o.absentFor(v1, retention+removeDelay, now), test.Sprint("after a resume looked"))
}

// TestSoleReleaseHasARecord checks that a release which this node sees, and which has no record, doesn't count as one
// that alone can have begun streams.
func TestSoleReleaseHasARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(1, newPlatformTopic())
		s.set("v1")
		test.False(t, s.gates[0].MayBegin(service, "v1"))
		test.Eq(t, "", s.soleAt(t, 0))
	})
}

// TestServicesThatCanNotBeRecordedHaveNoSoleRelease checks that a service whose name is too long for records has no
// release that counts as the only one.
func TestServicesThatCanNotBeRecordedHaveNoSoleRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(1, newPlatformTopic())
		long := string(make([]byte, maxNameBytes+1))
		s.observers[0].Set("a", Origin{long, "v1"}, time.Now())
		must.True(t, s.gates[0].MayBegin(long, "v1"))
		release, err := s.gates[0].Sole(t.Context(), long)
		must.NoError(t, err)
		test.Eq(t, "", release)
	})
}

// TestNodesThatDisagreeOnAReleaseWriteSeldom checks that a node which doesn't see a release that another one lists
// doesn't retire its record again and again, so that streams may begin there.
func TestNodesThatDisagreeOnAReleaseWriteSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(2, newPlatformTopic())
		s.run(t, retention)
		writes, closed := s.topic.writes, 0
		for range int(retention / recordInterval) {
			s.observers[0].Set("a", Origin{service, "v1"}, time.Now())
			s.run(t, recordInterval)
			if !s.gates[0].MayBegin(service, "v1") {
				closed++
			}
		}
		t.Log("writes", s.topic.writes-writes, "steps closed", closed, "of", int(retention/recordInterval))
		test.Less(t, 5, s.topic.writes-writes)
	})
}

// newCutOffSystem returns a system whose third node is cut off together with the servers of v2, whose entries lapse.
func newCutOffSystem(t *testing.T) *recordingSystem {
	s := newRecordingSystem(6, newPlatformTopic())
	s.set("v1")
	s.set("v2")
	s.run(t, settleTime)
	s.nodes[2].silent.Store(true)
	s.unlist("v2")
	return s
}

// TestCutOffNodeBeginsNoStreamsAtAReleaseThatWasRemoved checks that a node which has been cut off for longer than a
// record outlasts its release begins no streams by it.
func TestCutOffNodeBeginsNoStreamsAtAReleaseThatWasRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutOffSystem(t)
		s.run(t, retention+removeDelay+settleTime)
		mayBegin := s.gates[2].MayBegin(service, "v2")
		sole := s.soleAt(t, 1)
		test.False(t, mayBegin && sole == "v1", test.Sprint("may begin at v2: ", mayBegin, ", resumed at ", sole))
	})
}

// TestRestoredStoreIsNoProofAgainstNodesThatAreCutOff checks that a release whose record the store lost, and whose servers
// only a node that is cut off can see, isn't passed over while that node begins streams there.
func TestRestoredStoreIsNoProofAgainstNodesThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutOffSystem(t)
		s.topic.restoreEmpty()
		s.read()
		s.run(t, settleTime)
		mayBegin := s.gates[2].MayBegin(service, "v2") // a stream begins at v2 now, and is resumed within the retention
		for i := range s.observers {
			s.observers[i].seenReleases(service, retention, time.Now())
		}
		s.run(t, retention-time.Second)
		sole := s.soleAt(t, 1)
		test.False(t, mayBegin && sole == "v1", test.Sprint("may begin at v2: ", mayBegin, ", resumed at ", sole))
	})
}

// formerRetention is that of streams before the configuration made it shorter.
const formerRetention = 10 * retention

// newSystemOfShorterRetention returns a system of v1 in which the retention has just become shorter. The last endpoint of v2
// has just left: a stream that began there may be resumed for formerRetention.
func newSystemOfShorterRetention(t *testing.T) *recordingSystem {
	s := newRecordingSystem(6, newPlatformTopic())
	current := formerRetention
	keep := func() time.Duration { return current }
	for i := range s.nodes {
		s.copies[i].config.Retention, s.gates[i].Retention, s.recorders[i].config.Retention = keep, keep, keep
	}
	s.set("v1")
	s.set("v2")
	s.run(t, settleTime)
	s.unlist("v2")
	current = retention
	return s
}

// TestRecordsOutlastAShorterRetention checks that streams which began under a longer retention, as the configuration had
// it, aren't resumed at another release once it is shorter.
func TestRecordsOutlastAShorterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystemOfShorterRetention(t)
		s.run(t, formerRetention/2)
		test.NotEq(t, "v1", s.soleAt(t, 1))
	})
}

// TestRestoredStoreIsNoProofWithinALongerRetention guards against a release whose record the store lost after the retention
// had become shorter: streams that began before may be resumed for the longer one.
func TestRestoredStoreIsNoProofWithinALongerRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystemOfShorterRetention(t)
		s.topic.restoreEmpty()
		s.read()
		s.run(t, formerRetention/2)
		test.NotEq(t, "v1", s.soleAt(t, 1))
		s.run(t, formerRetention)
		test.Eq(t, "v1", s.soleAt(t, 1), test.Sprint("after the longer retention"))
	})
}

// TestLongLogKeepsOwnRecords checks that reading a log of many streams, most of which can't be resumed any more, drops no
// record of a stream that can.
func TestLongLogKeepsOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2)
		old := n.streams.open()
		for i := range maxRecords + maxWaiting {
			old.add(record{KeyOf("yard", strconv.Itoa(i)), Origin{service, "v1"}})
			if i%maxWaiting == maxWaiting-1 {
				must.NoError(t, old.append(t.Context(), old.waiting))
				old.waiting = nil
			}
		}
		time.Sleep(2 * retention)
		k := KeyOf("yard", "own")
		n.nodes[0].Record(k, Origin{service, "v2"})
		n.nodes[0].Find(t.Context(), KeyOf("yard", "unknown"), service)
		_, found := n.nodes[0].table.Find(k)
		test.True(t, found)
	})
}

// TestSystemOfALaterEraResumesAfterTheLossOfAllNodes checks that nodes which start long after the store came back from an
// older copy know the one release that served, though streams of one release are not in the log.
func TestSystemOfALaterEraResumesAfterTheLossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(6, newPlatformTopic())
		s.set("v1")
		s.topic.restoreEmpty()
		s.read()
		s.run(t, 10*retention)
		must.Eq(t, "v1", s.resumes(t))
		s.nodes[0].Record(KeyOf("yard", "r"), Origin{service, "v1"})
		s.run(t, settleTime)
		s.writeStreams(t)
		s.restart()
		s.set("v1")
		test.Eq(t, "v1", s.resumes(t))
	})
}

// TestReleaseRetiredAnewIsKeptForLong checks that the time until a record is removed counts from when it was retired last,
// though this node reads in one batch that it was in use again meanwhile.
func TestReleaseRetiredAnewIsKeptForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(1, newPlatformTopic())
		c, v1 := s.copies[0], Origin{service, "v1"}
		records := []follow.Record{
			{Key: releaseKey(v1), Value: []byte(`{"service":"models","release":"v1","retired":true}`), Offset: 1},
			{Key: releaseKey(v1), Value: []byte(`{"service":"models","release":"v1"}`), Offset: 2},
			{Key: releaseKey(v1), Value: []byte(`{"service":"models","release":"v1","retired":true}`), Offset: 3},
		}
		c.Apply(&follow.Batch{Records: records[:1], Next: 2}, func(*follow.Record, error) {})
		time.Sleep(removeDelay)
		c.Apply(&follow.Batch{Records: records[1:], Next: 4}, func(*follow.Record, error) {})
		test.Eq(t, time.Now(), c.contents().stored[v1].readAt)
	})
}

// TestReleaseRetiredAnewBetweenSnapshotsIsKeptForLong checks the same for a node that reads the newest records only.
func TestReleaseRetiredAnewBetweenSnapshotsIsKeptForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(1, newPlatformTopic())
		c, v1 := s.copies[0], Origin{service, "v1"}
		read := func(offset int64) {
			retired := follow.Record{Key: releaseKey(v1), Value: []byte(`{"service":"models","release":"v1","retired":true}`), Offset: offset}
			c.Apply(&follow.Batch{Snapshot: true, Records: []follow.Record{retired}, Next: offset + 1}, func(*follow.Record, error) {})
		}
		read(1)
		first := time.Now()
		time.Sleep(removeDelay)
		read(1)
		test.Eq(t, first, c.contents().stored[v1].readAt)
		read(3)
		test.Eq(t, time.Now(), c.contents().stored[v1].readAt)
	})
}
