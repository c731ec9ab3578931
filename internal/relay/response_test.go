package relay

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// checkedPage checks a response to a request from an offset and converts it to a page.
func checkedPage(a *recordsResponse, from int64) (follow.Page, error) {
	if err := a.check(from, MaxAge); err != nil {
		return follow.Page{}, err
	}
	return a.page()
}

func TestInvalidResponses(t *testing.T) {
	at := func(offset int64) []relayedRecord {
		return []relayedRecord{{Record: follow.Record{Key: "k", Offset: offset}}}
	}
	for _, a := range []recordsResponse{
		{Next: 12, AgeUS: -1}, {Next: 12, AgeUS: 1 << 62}, {Next: 12, AgeUS: 1<<63 - 1}, {Next: 12, AgeUS: MaxAge.Microseconds()},
		{Next: -1}, {Next: 12, Records: at(9)}, {Next: 12, Records: at(12)}, {Next: 12, Records: at(-1)},
		{Next: 10, More: true}, {Next: 12, Records: []relayedRecord{{Record: follow.Record{Key: "k", Offset: 10}, Deflated: []byte("no DEFLATE")}}},
		{Next: 12, Records: []relayedRecord{{Record: follow.Record{Key: "k", Value: []byte("v"), Offset: 10}, Deflated: newRelayedRecord(long).Deflated}}},
	} {
		_, err := checkedPage(&a, 10)
		test.Error(t, err, test.Sprintf("%+v", a))
	}
	for _, a := range []recordsResponse{{Next: 12, Records: at(10)}, {Next: 12, Records: at(11)}, {Next: 8}, {Next: 12, AgeUS: MaxAge.Microseconds() - 1}} {
		_, err := checkedPage(&a, 10)
		test.NoError(t, err, test.Sprintf("%+v", a))
	}
}

// long is a record whose value is compressed.
var long = follow.Record{Key: "k", Value: []byte(strings.Repeat("a route ", compressFrom)), Offset: 10}

// TestLongValuesAreCompressed checks that long values are relayed compressed and short ones unchanged.
func TestLongValuesAreCompressed(t *testing.T) {
	for _, r := range []follow.Record{long, {Key: "k", Value: []byte("v")}, {Key: "gone"}} {
		sent := newRelayedRecord(r)
		test.LessEq(t, compressFrom+recordOverhead, sent.encodedSize())
		got, err := sent.decompress()
		must.NoError(t, err)
		test.Eq(t, r, got)
	}
	oversized := newRelayedRecord(follow.Record{Key: "k", Value: make([]byte, maxValueBytes+1)})
	_, err := oversized.decompress()
	test.Error(t, err, test.Sprint("larger than any record of the store"))
}

// FuzzRecordsResponse checks that a response either fails or contains only records from the requested offset on and
// an age within the limit.
func FuzzRecordsResponse(f *testing.F) {
	for _, seed := range []string{`{"records":[{"key":"k","value":"dg==","offset":10}],"next":11,"age_us":5}`, `{"age_us":9223372036854775807}`, "null", `{"next":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const from = 10
		var a recordsResponse
		if json.Unmarshal(data, &a) != nil {
			return
		}
		page, err := checkedPage(&a, from)
		if err != nil {
			return
		}
		test.True(t, page.Age > 0 && page.Age <= MaxAge && page.Next >= 0)
		for _, r := range page.Records {
			test.True(t, r.Offset >= from && r.Offset < page.Next)
		}
	})
}
