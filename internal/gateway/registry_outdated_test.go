package gateway

import (
	"testing"

	"github.com/shoenig/test"
)

// TestStrangeServiceTakesNothing keeps a live server, and what is under way at it, beside an
// entry under its id that is of no newer start.
func TestStrangeServiceTakesNothing(t *testing.T) {
	for name, value := range map[string]string{
		"no start":         entryOf("plain", "ready", ""),
		"no start, same":   entryOf("engines", "ready", models),
		"an earlier start": entryOf("plain", "ready", `,"born":5`),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistered()
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
