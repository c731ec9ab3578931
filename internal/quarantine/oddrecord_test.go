package quarantine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// oddRecords are values of records that describe no hold.
func oddRecords() []string {
	list := []string{"", "null", "[]", `{"until_ms":1,"since_ms":1e400,"endpoints":["a","b","c"]}`, `{"until_ms":1,"endpoints":["a","b",3]}`}
	for _, number := range []string{"-1", "9007199254740992", "9223372036854775807", "-9223372036854775808", "1e400"} {
		list = append(list, fmt.Sprintf(`{"until_ms":%s,"endpoints":["a","b","c"]}`, number), fmt.Sprintf(`{"until_ms":1,"since_ms":%s,"endpoints":["a","b","c"]}`, number))
	}
	for _, endpoint := range []string{"", strings.Repeat("e", 1000)} {
		list = append(list, fmt.Sprintf(`{"until_ms":1,"endpoints":["a","b",%q]}`, endpoint))
	}
	for _, levels := range []int{9999, 30_000} {
		list = append(list, strings.Repeat("[", levels)+strings.Repeat("]", levels), `{"until_ms":`+strings.Repeat("[", levels)+strings.Repeat("]", levels)+`,"endpoints":["a","b","c"]}`)
	}
	return list
}

// TestOddHoldRecordsAreRejected guards against times that no list of holds can show, and endpoints of any length.
func TestOddHoldRecordsAreRejected(t *testing.T) {
	for _, value := range oddRecords() {
		_, err := decodeHold(&follow.Record{Key: keyOf(print("a")), Value: []byte(value)}, time.Now())
		test.Error(t, err, test.Sprintf("%.80s", value))
	}
}

// FuzzDecodeHold checks that a record is rejected, or describes a hold that can be shown and ends in time.
func FuzzDecodeHold(f *testing.F) {
	for _, value := range append(oddRecords()[:14], `{"until_ms":1764633600123,"since_ms":1764633600000,"endpoints":["a@1","b@2","c@3"],"part":true,"node":"n"}`) {
		f.Add([]byte(value))
	}
	now := time.UnixMilli(1764633600000)
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHold(&follow.Record{Key: keyOf(print("a")), Value: value}, now)
		if err != nil {
			return
		}
		test.False(t, h.Until.After(now.Add(maxHold)))
		for _, at := range []time.Time{h.Until, h.Since} {
			_, err := json.Marshal(at.UTC())
			must.NoError(t, err)
		}
	})
}
