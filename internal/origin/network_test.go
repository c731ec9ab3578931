package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestStreamsAreResumedAtOtherNodes checks that callers can resume their streams at any sound node after
// the loss of the node that began them, of its failure domain, and of messages.
func TestStreamsAreResumedAtOtherNodes(t *testing.T) {
	const streams = 100
	for _, size := range []int{6, 85, 295, 985} {
		for _, c := range []struct {
			name string
			loss float64
			fail func(w *network, at *node)
		}{
			{"sound", 0, func(*network, *node) {}},
			{"packets lost", lossRate, func(*network, *node) {}},
			{"node killed", 0, func(_ *network, at *node) { at.silent.Store(true) }},
			{"failure domain without power", 0, func(w *network, at *node) {
				for _, n := range w.nodes {
					n.silent.Store(n.peer.Domain == at.peer.Domain)
				}
			}},
			{"node replaced", 0, func(_ *network, at *node) {
				at.peer.Name += "-new"
				at.start()
			}},
		} {
			t.Run(fmt.Sprint(size, " nodes, ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newNetwork(size)
					w.loss = c.loss
					found, slowest, messages, bytes := 0, time.Duration(0), 0, 0
					for i := range streams {
						before, beforeBytes := w.messages, w.bytes
						at, k, o := w.begin(i)
						at.resend()
						messages, bytes = messages+w.messages-before, bytes+w.bytes-beforeBytes
						name := at.peer.Name
						c.fail(w, at)
						asked := w.nodes[(i+1)%size]
						for asked.silent.Load() || asked == at {
							asked = w.nodes[w.random.IntN(size)]
						}
						if at.peer.Name != name {
							asked.list()
						}
						r := asked.Find(t.Context(), k, service)
						slowest = max(slowest, r.Took)
						for _, n := range w.nodes {
							n.silent.Store(false)
						}
						if r.Source == NotFound {
							continue
						}
						found++
						test.Eq(t, o, r.Origin)
					}
					synctest.Wait()
					t.Logf("%d of %d found, slowest in %v; %.1f messages and %.0f bytes a stream", found, streams, slowest, float64(messages)/streams, float64(bytes)/streams)
					test.Eq(t, streams, found)
					test.LessEq(t, calls*callTimeout, slowest)
				})
			})
		}
	}
}

// TestUnknownStreamsAreNotFound checks that nothing is found of a stream whose homes are gone, of another
// account's, or of one that two requests with the same id began at different releases.
func TestUnknownStreamsAreNotFound(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *network, at *node, k Key) Key
	}{
		{"all nodes restarted", func(w *network, _ *node, k Key) Key {
			for _, n := range w.nodes {
				n.start()
			}
			return k
		}},
		{"asking node cut off", func(w *network, at *node, k Key) Key {
			for _, n := range w.nodes {
				n.silent.Store(n != at)
				n.start()
			}
			return k
		}},
		{"another account's", func(*network, *node, Key) Key { return KeyOf("mill", "r0") }},
		{"begun twice", func(w *network, _ *node, k Key) Key {
			w.nodes[3].Record(k, Origin{Service: service, Release: "v2"})
			return k
		}},
		{"not named", func(*network, *node, Key) Key { return Key{} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(6)
				at, k, _ := w.begin(0)
				k = c.fail(w, at, k)
				r := w.nodes[1].Find(t.Context(), k, service)
				test.Eq(t, NotFound, r.Source)
				test.Eq(t, Origin{}, r.Origin)
				test.LessEq(t, calls*callTimeout, r.Took)
			})
		})
	}
}

// TestStreamsBegunBeforeNodesKnowOneAnother checks that a stream that begins at a node that knows no other one
// yet is found once it does, and that its absence is not final before.
func TestStreamsBegunBeforeNodesKnowOneAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(6)
		for _, n := range w.nodes {
			n.startAlone()
		}
		at, k, o := w.begin(0)
		at.resend()
		test.Eq(t, Result{}, w.nodes[1].Find(t.Context(), k, service))
		w.listAll()
		at.resend()
		at.silent.Store(true)
		test.Eq(t, o, w.nodes[1].Find(t.Context(), k, service).Origin)
		unknown := KeyOf("yard", "unknown")
		test.False(t, w.nodes[1].Find(t.Context(), unknown, service).Settled)
		time.Sleep(settleTime)
		test.True(t, w.nodes[1].Find(t.Context(), unknown, service).Settled)
	})
}

// TestNodesOfOlderBuilds checks that streams are resumed while some nodes don't know the messages.
func TestNodesOfOlderBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(6)
		for _, n := range w.nodes[3:] {
			n.older = true
		}
		_, k, o := w.begin(0)
		w.nodes[0].silent.Store(true)
		test.Eq(t, o, w.nodes[1].Find(t.Context(), k, service).Origin)
	})
}

// TestStreamsWithoutRecordGoOnAtTheSoleRelease checks that a stream of which no node has a record is resumed at the
// release that alone can have begun it, and that a failure to find that out is not final.
func TestStreamsWithoutRecordGoOnAtTheSoleRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(6)
		time.Sleep(settleTime)
		w.nodes[0].sole = "v1"
		for _, k := range []Key{{}, KeyOf("yard", "lost")} {
			r := w.nodes[0].Find(t.Context(), k, service)
			test.Eq(t, SoleRelease, r.Source)
			test.Eq(t, Origin{Service: service, Release: "v1"}, r.Origin)
			unknown := w.nodes[1].Find(t.Context(), k, service)
			test.Eq(t, NotFound, unknown.Source)
			test.True(t, unknown.IsFinal())
		}
		w.nodes[1].Service.config.Sole = func(context.Context, string) (string, error) { return "", errNotLoaded }
		unknown := w.nodes[1].Find(t.Context(), Key{}, service)
		test.False(t, unknown.IsFinal())
	})
}

func TestMessagesOutOfRangeAreRejected(t *testing.T) {
	w := newNetwork(2)
	records := w.nodes[0].handlers[recordsMethod]
	for _, params := range []string{
		`[]`, `{"records":[{}]}`, `{"records":[{"key":"AAAAAAAAAAAAAAAAAAAAAA","service":"s","release":"v1"}]}`,
		`{"records":[{"key":"AAAAAAAAAAAAAAAAAAAAAQ","service":"s"}]}`, `{"records":[{"key":"AQ","service":"s","release":"v1"}]}`,
	} {
		_, err := records(json.RawMessage(params))
		test.Error(t, err, test.Sprint(params))
	}
	_, err := w.nodes[0].handlers[findMethod](json.RawMessage(`{"key":"x"}`))
	must.Error(t, err)
	test.Eq(t, 0, w.nodes[0].Len())
}

// TestRecordsOutlastRestartsInTurn checks that streams are resumed after all nodes have restarted one after the
// other: all of them, or nearly all if packets are lost.
func TestRecordsOutlastRestartsInTurn(t *testing.T) {
	for _, c := range []struct {
		size int
		gap  time.Duration // between the restarts of two nodes
	}{{3, time.Second}, {6, 400 * time.Millisecond}, {13, 400 * time.Millisecond}, {85, 200 * time.Millisecond}} {
		for loss, most := range map[float64]int{0: 0, lossRate: 10} {
			t.Run(fmt.Sprint(c.size, " nodes, packets lost ", loss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newNetwork(c.size)
					w.loss = loss
					w.beginAll()
					before := w.sentBytes()
					for _, n := range w.nodes {
						n.start()
						go n.copyRecords(t.Context())
						time.Sleep(c.gap)
					}
					time.Sleep(2 * settleTime)
					missing := w.missing(t)
					t.Logf("%d of %d missing, %d bytes for each node that starts", missing, manyStreams, (w.sentBytes()-before)/c.size)
					test.LessEq(t, most, missing)
				})
			})
		}
	}
}

// TestStartsOfAllNodesCopyLittle checks that the questions of nodes that all start at the same time, as after a
// loss of power, stay within what each may send for control in ten seconds.
func TestStartsOfAllNodesCopyLittle(t *testing.T) {
	const most = 50_000 // bytes a node: 5 KB a second
	for _, size := range []int{85, 295, 985} {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(size)
			const sampled = 20
			for _, n := range w.nodes[:sampled] {
				n.listedBefore = true
				n.start()
				go n.copyRecords(t.Context())
			}
			time.Sleep(3 * settleTime)
			bytes := w.sentBytes() / sampled
			t.Logf("%d nodes: %d bytes a node", size, bytes)
			test.LessEq(t, most, bytes)
		})
	}
}

// beginAll has many streams begin, at nodes that have copied the records of others.
func (w *network) beginAll() {
	for i := range manyStreams {
		w.begin(i)
	}
	for _, n := range w.nodes {
		n.copied.Store(true)
		n.resend()
	}
}

// missing returns the number of streams of beginAll that are not found at another node than they began at.
func (w *network) missing(t *testing.T) (count int) {
	t.Helper()
	for i := range manyStreams {
		at := w.nodes[(i+1)%len(w.nodes)]
		if at.Find(t.Context(), KeyOf("yard", fmt.Sprint("r", i)), service).Source == NotFound {
			count++
		}
	}
	return count
}
