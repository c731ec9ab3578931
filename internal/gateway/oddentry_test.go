package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/platform"
)

// oddEntries returns unusable entries: nested deeply, with a number out of range, with an address out of range, and with
// missing fields or fields of the wrong type.
func oddEntries() []string {
	engine := entryOf("engines", "ready", models)
	var list []string
	for _, levels := range []int{100, 9998, 30_000} {
		for _, pair := range [][2]string{{"[", "]"}, {`{"x":`, "}"}} {
			deep := strings.Repeat(pair[0], levels) + "1" + strings.Repeat(pair[1], levels)
			list = append(list, deep, strings.Replace(engine, `"seq":1`, `"seq":1,"x":`+deep, 1), strings.Replace(engine, `"seq":1`, `"seq":`+deep, 1))
		}
	}
	for _, change := range [][2]string{
		{`"slots":8`, `"slots":1e400`}, {`"slots":8`, `"slots":99999999999999999999`}, {`"slots":8`, `"slots":-1`}, {`"seq":1`, `"seq":9223372036854775808`},
		{`"cold-left-ms":0`, `"cold-left-ms":1e400`}, {`"version":1}`, `"version":1e400}`}, {`"seq":1`, `"seq":1,"born":18446744073709551616`},
		{":80", ":65536"}, {":80", ":70000"}, {":80", ":-1"}, {":80", ":"}, {":80", ":0080"}, {"10.0.0.1:80", "[::1%eth0]:80"},
		{`"zone"`, `"not-zone"`}, {`"version":"v1"`, `"version":null`}, {`"version":"v1",`, ""}, {`"version":"v1"`, `"version":7`}, {`"state":"ready"`, `"state":{}`},
	} {
		list = append(list, strings.Replace(engine, change[0], change[1], 1))
	}
	return list
}

// TestOddEntriesAreHeldByOthers checks that each odd entry, in the first listing, while the registry is followed, and under
// the key of a server, takes away no other server, and that of its key only until the next heartbeat.
func TestOddEntriesAreHeldByOthers(t *testing.T) {
	good := entryOf("engines", "ready", models)
	for i, odd := range oddEntries() {
		r := newRegistryFixture()
		r.configure(t, 1, engines)
		listed := []follow.Record{{Key: "0", Value: []byte(odd)}, {Key: "e1", Value: []byte(good), Offset: 1}, {Key: "e2", Value: []byte(odd), Offset: 2}, {Key: "e3", Value: []byte(good), Offset: 3}}
		r.Apply(follow.Batch{Snapshot: true, Records: listed, ConfirmedAt: time.Now(), Next: 4})
		name := test.Sprintf("entry %d: %.200s", i, odd)
		test.Eq(t, "e1 e3 ", r.ids("engines"), name)
		r.put("e2", good)
		test.Eq(t, "e1 e2 e3 ", r.ids("engines"), name)
		r.put("e1", odd)
		r.put("x", odd)
		test.Eq(t, "e2 e3 ", r.ids("engines"), name)
		r.put("e1", good)
		test.Eq(t, "e1 e2 e3 ", r.ids("engines"), name)
		test.Eq(t, 4, r.rejected.Load(), name)
	}
}

// TestThousandsOfOddEntriesAreLoggedInBrief guards against a log that grows with what other processes write.
func TestThousandsOfOddEntriesAreLoggedInBrief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // lines are limited by time
		const maxLogBytes = 32 << 10
		var out bytes.Buffer
		log := zerolog.New(&out)
		s := newState(registryBounds, log)
		r := &registryFixture{registry: newRegistry(fleet.New(log), s.config.Load, registryBounds, s.rejected), state: s}
		s.onConfig = r.reevaluate
		r.configure(t, 1, engines)
		born := time.Now().UnixMilli()
		server := func(ms int64) string {
			return entryOf("engines", "ready", fmt.Sprintf(`%s,"born":%d`, models, ms))
		}
		r.put("e1", server(born))
		odd := oddEntries()
		for i := range 5000 {
			r.put(strings.Repeat("k", 200)+fmt.Sprint(i), odd[i%len(odd)])
			r.put("e1", server(born-int64(i)-1))
		}
		r.put("long", `{"`+strings.Repeat("n", 15_000)+`":1,"`+strings.Repeat("n", 15_000)+`":1}`)
		config := fmt.Sprintf(`{"version":2,"routes":[{"name":%q,"route-kind":"none"}]}`, strings.Repeat("n", 500_000))
		s.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(config)}}})
		test.Eq(t, 5002, r.rejected.Load())
		test.Eq(t, "e1 ", r.ids("engines"))
		must.Less(t, maxLogBytes, out.Len())
		out.Reset()
		fresh := newState(registryBounds, log)
		fresh.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(config)}}})
		must.Greater(t, 0, out.Len())
		must.Less(t, 2<<10, out.Len(), must.Sprint("one line"))
	})
}

// TestOddNodeEntriesAreRejected checks node entries that are nested deeply, with a number or an address out of range.
func TestOddNodeEntriesAreRejected(t *testing.T) {
	deep := strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000)
	for _, value := range []string{
		deep, `{"addr":"10.0.0.1:7","domain":` + deep[:9000] + `}`, `{"addr":"10.0.0.1:7","x":` + deep + `}`,
		`{"addr":"10.0.0.1:7","millicores":1e400}`, `{"addr":"10.0.0.1:7","millicores":9223372036854775807}`, `{"addr":"10.0.0.1:7","millicores":-1}`,
		`{"addr":"10.0.0.1:65536"}`, `{"addr":"10.0.0.1:70000"}`, `{"addr":"10.0.0.1:-1"}`, `{"addr":"10.0.0.1:"}`, `{"addr":"10.0.0.1:0080"}`, `{"addr":"[::1%eth0]:80"}`,
		`{"addr":"10.0.0.1:7","domain":"` + strings.Repeat("d", 300) + `"}`,
	} {
		_, err := decodeNode([]byte(value))
		test.Error(t, err, test.Sprintf("%.80s", value))
	}
	for _, helper := range []string{"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:0080", "0.0.0.0:80"} {
		e, err := decodeNode(fmt.Appendf(nil, `{"addr":"10.0.0.1:7","helper":%q}`, helper))
		must.NoError(t, err)
		test.Eq(t, "", e.Helper, test.Sprint("no requests are passed to it"))
	}
}

// TestLongEntriesTakeBoundedMemory guards against nodes that keep what another process writes in full, once for the copy
// that they serve to others and once for the registry.
func TestLongEntriesTakeBoundedMemory(t *testing.T) {
	const entries, maxBytesOfEach = 2000, 1000
	r := newRegistryFixture()
	r.configure(t, 1, engines)
	copied := &relay.Copy{Sink: r.registry, Same: platform.SameEndpoint, Brief: platform.ShortenEndpoint}
	deep := strings.Replace(entryOf("engines", "ready", models), `"seq":1`, `"seq":1,"x":`+strings.Repeat("[", 9998)+strings.Repeat("]", 9998), 1)
	long := strings.Replace(entryOf("engines", "ready", models), `"seq":1`, `"seq":1,"x":"`+strings.Repeat("x", 9998)+`"`, 1)
	batch := follow.Batch{Snapshot: true, ConfirmedAt: time.Now(), Next: entries}
	for i := range int64(entries) {
		value := []byte(deep)
		if i%2 == 0 {
			value = []byte(long)
		}
		batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("e", i), Value: value, Offset: i})
	}
	copied.Apply(batch)
	kept := 0
	for _, record := range copied.Records() {
		kept += len(record.Value)
	}
	for _, e := range r.entries {
		kept += len(e.value)
	}
	test.Less(t, entries*maxBytesOfEach, kept)
	test.SliceLen(t, entries/2, r.fleet.Members("engines"), test.Sprint("entries with a long field that is not known are valid"))
	test.Eq(t, int64(entries/2), r.rejected.Load())
}
