package gateway

import (
	"testing"

	"github.com/shoenig/test"
)

// TestOutdatedEntryKeepsEndpoint checks that an entry without a newer start does not replace a live
// endpoint with the same id, or end its requests in progress.
func TestOutdatedEntryKeepsEndpoint(t *testing.T) {
	for name, value := range map[string]string{
		"no start":         entryOf("plain", "ready", ""),
		"no start, same":   entryOf("engines", "ready", models),
		"an earlier start": entryOf("plain", "ready", `,"born":5`),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistryFixture()
			r.configure(t, 1, engines+","+plain)
			own := entryOf("engines", "ready", models+`,"born":10`)
			r.put("e1", own)
			r.fleet.Members("engines")[0].Load.Begin(0, 100)
			r.put("e1", value)
			test.Eq(t, "e1 ", r.ids("engines"))
			r.put("e1", own)
			test.Eq(t, "e1 ", r.ids("engines"))
			test.Eq(t, 1, r.fleet.Members("engines")[0].Load.Running())
		})
	}
}
