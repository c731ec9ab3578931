package origin

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// FuzzDecodeRecords checks that a message is rejected as a whole, or has records that can be sent on.
func FuzzDecodeRecords(f *testing.F) {
	for _, seed := range []string{
		`{"records":[{"key":"AAAAAAAAAAAAAAAAAAAAAQ","service":"s","release":"v1"}]}`, `{"records":[{"key":"?"}]}`, `{"records":[null]}`, `{"records":{}}`,
		`{"records":[{"key":"AAAAAAAAAAAAAAAAAAAAAQ","service":"s","release":7}]}`, `{"records":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "}", "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := decodeRecords(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(recordsMessage{records})
		must.NoError(t, err)
		again, err := decodeRecords(encoded)
		must.NoError(t, err)
		test.SliceLen(t, len(records), again)
	})
}

// FuzzDecodeRelease checks that a record is rejected, or is that of its key.
func FuzzDecodeRelease(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","release":"v1","node":"n"}`, `{"service":"s","release":"v1","retired":true}`, `{"service":"s","release":1e400}`, `{"service":"s","release":"v2"}`,
		`{"service":"s","release":"v1","x":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "}", "null", "",
	} {
		f.Add([]byte(seed))
	}
	of := Origin{"s", "v1"}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRelease(&follow.Record{Key: releaseKey(of), Value: data})
		if err == nil {
			test.Eq(t, of, r.Origin)
		}
	})
}
