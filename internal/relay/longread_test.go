package relay

import (
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// configRecord returns a version of a long configuration at an offset.
func configRecord(version int) follow.Record {
	return follow.Record{Key: "config", Value: configValue(version), Offset: int64(10 + version)}
}

// applyConfig applies a version of a long configuration to a copy.
func applyConfig(c *Copy, version int) {
	r := configRecord(version)
	c.Apply(follow.Batch{Records: []follow.Record{r}, Next: r.Offset + 1, ConfirmedAt: time.Now()})
}

// emptyCopy returns a copy of an empty topic that has all changes from offset 10 on.
func emptyCopy() *Copy {
	c := &Copy{Sink: discardSink{}}
	c.Apply(follow.Batch{Snapshot: true, Next: 10, ConfirmedAt: time.Now()})
	return c
}

// followedSystem is a system of a reader and a node that reads from it, as the copy of the reader changes.
type followedSystem struct {
	reader   *Copy
	readerAt *simConn
	topic    *Topic
	own      *Copy
	next     int64
}

func newFollowedSystem(loss float64) *followedSystem {
	s := newSystem(simDomains*simReaders+1, loss)
	first, node := s.nodes[0], s.nodes[simDomains*simReaders]
	f := &followedSystem{reader: emptyCopy(), readerAt: first.conn, topic: node.topic, own: emptyCopy(), next: 10}
	f.topic.Relay.Serve("config", f.own)
	f.topic.Own = f.own
	first.topic.Relay.Serve("config", f.reader)
	f.topic.Readers = func() []netip.AddrPort { return []netip.AddrPort{first.addr} }
	f.topic.MaxAge = busyHostTimeout
	node.store.setRejected(true)
	return f
}

// read reads what changed, applies it, and returns the bytes of the responses.
func (f *followedSystem) read(t *testing.T) (page follow.Page, bytes int) {
	t.Helper()
	before := f.readerAt.sent
	page, err := f.topic.Read(t.Context(), f.next, 0)
	must.NoError(t, err)
	f.next = page.Next
	f.own.Apply(follow.Batch{Records: page.Records, Next: page.Next, ConfirmedAt: time.Now()})
	return page, f.readerAt.sent - before
}

// TestChangesOfLongRecordsAreSmall checks that a node which has an earlier version of a long record gets what
// changed, and one that hasn't gets all of it, compressed.
func TestChangesOfLongRecordsAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowedSystem(0)
		for version := range 8 {
			applyConfig(f.reader, version)
			page, bytes := f.read(t)
			must.Eq(t, []follow.Record{configRecord(version)}, page.Records)
			if version == 0 {
				test.Between(t, datagram.MaxBytes, bytes, 3*datagram.MaxBytes)
			} else {
				test.Less(t, 1<<10, bytes)
			}
		}
		for version := range maxVersions {
			applyConfig(f.reader, 8+version)
		}
		page, bytes := f.read(t)
		test.Eq(t, []follow.Record{configRecord(7 + maxVersions)}, page.Records)
		test.Less(t, 1<<10, bytes, test.Sprint("several versions at once"))
		for version := range maxVersions + 1 {
			applyConfig(f.reader, 20+version)
		}
		page, bytes = f.read(t)
		test.Eq(t, []follow.Record{configRecord(20 + maxVersions)}, page.Records)
		test.Greater(t, datagram.MaxBytes, bytes, test.Sprint("too many versions at once"))
	})
}

// TestWrongEarlierVersionIsFoundOut checks that a node whose earlier version is not the reader's, as after it
// was altered, doesn't accept what results, and asks for the whole value next.
func TestWrongEarlierVersionIsFoundOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowedSystem(0)
		applyConfig(f.reader, 0)
		f.read(t)
		applyConfig(f.reader, 1)
		f.own.latest["config"].Value[100] ^= 1
		_, err := f.topic.Read(t.Context(), f.next, 0)
		must.Error(t, err)
		page, _ := f.read(t)
		test.Eq(t, []follow.Record{configRecord(1)}, page.Records)
	})
}

// TestPartsOfVersionsAreNotJoined checks that the parts of a value can be requested while it is replaced once,
// that they are refused after that, and that no other version is sent in their place.
func TestPartsOfVersionsAreNotJoined(t *testing.T) {
	c := emptyCopy()
	applyConfig(c, 0)
	first, err := c.relayLong(configRecord(0), noBase)
	must.NoError(t, err)
	must.Greater(t, 1, first.Long.Parts)
	request := partRequest{Key: "config", Offset: first.Offset, Base: noBase}
	part, err := c.part(&request)
	must.NoError(t, err)
	c.serves = true
	for version := 1; version <= 2; version++ {
		applyConfig(c, version)
		again, err := c.part(&request)
		if version == 1 {
			must.NoError(t, err)
			test.Eq(t, part, again)
		} else {
			test.ErrorIs(t, err, errReplaced)
		}
	}
	for _, invalid := range []partRequest{
		{Key: "config", Offset: 12, Base: noBase, Part: -1}, {Key: "config", Offset: 12, Base: noBase, Part: 99}, {Key: "none", Base: noBase},
		{Key: "config", Offset: 12, Base: 5}, {Key: "config", Offset: 13, Base: noBase},
	} {
		_, err := c.part(&invalid)
		test.Error(t, err, test.Sprintf("%+v", invalid))
	}
	test.MapLen(t, 1, c.long, test.Sprint("requests for unknown records take no memory"))
}

// TestEarlierBuildsGetNoLongRecordsWithoutValue checks that a request of a build that doesn't support long
// records is refused if the record is too long, rather than answered with a record without a value, which
// would mean that it was removed.
func TestEarlierBuildsGetNoLongRecordsWithoutValue(t *testing.T) {
	f := newFollowedSystem(0)
	applyConfig(f.reader, 0)
	_, err := f.readerAt.handle(methodRecords, json.RawMessage(`{"topic":"config","from":10}`))
	test.ErrorIs(t, err, errTooLong)
}

// FuzzLongValue checks that decoding arbitrary data fails or gives the value of the digest.
func FuzzLongValue(f *testing.F) {
	value := configValue(1)
	patch, err := encodeValue(value, configValue(0))
	must.NoError(f, err)
	f.Add(patch.data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodeValue(data, configValue(0), patch.digest[:])
		if err == nil {
			test.Eq(t, value, got)
		}
	})
}
