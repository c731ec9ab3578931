package runid

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
)

var key = []byte("0123456789abcdef")

func TestParseAcceptsOnlyTheAccountsOwnRun(t *testing.T) {
	id := ID{Endpoint: "engine-1.north", Base: 17}
	run := New(key, "mill", id)
	got, err := Parse(key, "mill", run)
	must.NoError(t, err)
	must.Eq(t, id, got)
	for name, parse := range map[string]func() error{
		"other account":  func() error { _, err := Parse(key, "yard", run); return err },
		"other key":      func() error { _, err := Parse([]byte("x"), "mill", run); return err },
		"other endpoint": func() error { _, err := Parse(key, "mill", run+"9"); return err },
		"cut":            func() error { _, err := Parse(key, "mill", run[:20]); return err },
		"empty":          func() error { _, err := Parse(key, "mill", ""); return err },
	} {
		must.True(t, result.Is(parse(), result.RunNotFound), must.Sprint(name))
	}
	must.NotEq(t, run, New(key, "mill", id))
}

func TestEventID(t *testing.T) {
	run, offset, err := ParseEventID(EventID("r1-a-0-b-c", 5))
	must.NoError(t, err)
	must.Eq(t, "r1-a-0-b-c", run)
	must.Eq(t, 5, offset)
	for _, malformed := range []string{"", "r1", "r1:", "r1:-1", "r1:x"} {
		_, _, err := ParseEventID(malformed)
		must.True(t, result.Is(err, result.BadEventID), must.Sprint(malformed))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(New(key, "mill", ID{Endpoint: "e", Base: 1}), "mill")
	f.Add("r1-----:", "")
	f.Fuzz(func(t *testing.T, run, account string) {
		id, err := Parse(key, account, run)
		if err == nil && id.Endpoint == "" && account != "" {
			t.Fatal("Parse accepted a run id without an endpoint")
		}
		_, _, _ = ParseEventID(run)
	})
}
