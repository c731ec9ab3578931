package canary

import (
	"strings"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
)

// FuzzDecode checks that each message and record is rejected, or within the documented ranges.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","order":1,"node":"n","age_ms":5,"old_in_flight":2,"rows":[{"route":"r","old":{},"new":{}}]}`, `{"order":1,"phase":"promoting"}`,
		`{"order":1e400,"phase":"trial"}`, `{"order":9223372036854775808,"phase":"trial"}`, `{"phase":"?"}`, `{"age_ms":-1}`, "null", "",
		`{"order":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeReport(data); err == nil {
			test.True(t, r.Service != "" && r.Node != "" && len(r.Rows) <= maxRows && r.AgeMS >= 0 && r.OldInFlight >= 0)
		}
		_, _, phase, err := decodeRecord(&follow.Record{Key: keyPrefix + "s", Value: data})
		if err == nil {
			test.NotEq(t, "", phase.String())
		}
		if _, phase, err = decodeNotice(data); err == nil {
			test.NotEq(t, "", phase.String())
		}
	})
}
