package relay

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

func TestAnswersOutOfRange(t *testing.T) {
	at := func(offset int64) []toldRecord {
		return []toldRecord{{Record: follow.Record{Key: "k", Offset: offset}}}
	}
	for _, a := range []answer{
		{Next: 12, AgeUS: -1}, {Next: 12, AgeUS: 1 << 62}, {Next: 12, AgeUS: 1<<63 - 1}, {Next: 12, AgeUS: MaxAge.Microseconds()},
		{Next: -1}, {Next: 12, Records: at(9)}, {Next: 12, Records: at(12)}, {Next: 12, Records: at(-1)},
		{Next: 10, More: true}, {Next: 12, Records: []toldRecord{{Record: follow.Record{Key: "k", Offset: 10}, Deflated: []byte("no DEFLATE")}}},
		{Next: 12, Records: []toldRecord{{Record: follow.Record{Key: "k", Value: []byte("v"), Offset: 10}, Deflated: told(long).Deflated}}},
	} {
		_, err := a.page(10, MaxAge)
		test.Error(t, err, test.Sprintf("%+v", a))
	}
	for _, a := range []answer{{Next: 12, Records: at(10)}, {Next: 12, Records: at(11)}, {Next: 8}, {Next: 12, AgeUS: MaxAge.Microseconds() - 1}} {
		_, err := a.page(10, MaxAge)
		test.NoError(t, err, test.Sprintf("%+v", a))
	}
}

// long is a record whose value is told compressed.
var long = follow.Record{Key: "k", Value: []byte(strings.Repeat("a route ", longValue)), Offset: 10}

// TestLongValuesTravelWhole tells a long value in less, and a short one as it is.
func TestLongValuesTravelWhole(t *testing.T) {
	for _, r := range []follow.Record{long, {Key: "k", Value: []byte("v")}, {Key: "gone"}} {
		sent := told(r)
		test.LessEq(t, longValue+recordBytes, sent.bytes())
		got, err := sent.whole()
		must.NoError(t, err)
		test.Eq(t, r, got)
	}
	bomb := told(follow.Record{Key: "k", Value: make([]byte, mostValue+1)})
	_, err := bomb.whole()
	test.Error(t, err, test.Sprint("longer than any record"))
}

// FuzzAnswer: an error, or records from the offset on with an age that is believed.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{`{"records":[{"key":"k","value":"dg==","offset":10}],"next":11,"age_us":5}`, `{"age_us":9223372036854775807}`, "null", `{"next":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const from = 10
		var a answer
		if json.Unmarshal(data, &a) != nil {
			return
		}
		page, err := a.page(from, MaxAge)
		if err != nil {
			return
		}
		test.True(t, page.Age > 0 && page.Age <= MaxAge && page.Next >= 0)
		for _, r := range page.Records {
			test.True(t, r.Offset >= from && r.Offset < page.Next)
		}
	})
}
