package kvindex

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestRestartedEngine checks that the recorded parts of an engine are discarded when the engine
// has restarted under the same id or has another address.
func TestRestartedEngine(t *testing.T) {
	engine := func(addr string, startedMs int64) *Holder {
		h := NewHolder("e", addr, "north")
		h.StartedMs = startedMs
		return h
	}
	tests := map[string]struct {
		next       *Holder
		keepsParts bool
	}{
		"the same":        {engine("127.0.0.1:1", 100), true},
		"started again":   {engine("127.0.0.1:1", 200), false},
		"another address": {engine("127.0.0.1:2", 100), false},
	}
	for name, tt := range tests {
		x := NewIndex(nil, nil, zerolog.Nop())
		first := engine("127.0.0.1:1", 100)
		x.Replace([]*Holder{first}, nil)
		x.Apply(first, &Events{Epoch: 1, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}})
		x.Replace([]*Holder{tt.next}, nil)
		test.Eq(t, tt.next.Addr, x.Engine("e").Addr, test.Sprint(name))
		test.Eq(t, tt.keepsParts, x.Engine("e").Has(part) > 0, test.Sprint(name))
	}
}
