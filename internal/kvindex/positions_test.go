package kvindex

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
)

// FuzzServePositions checks that any request for relayed events is refused, or gets a response that fits a message.
func FuzzServePositions(f *testing.F) {
	for _, seed := range []string{
		`[{}]`, `[{"epoch":5,"next":2}]`, `[{"epoch":5,"next":-9223372036854775808}]`, `[{"epoch":1e400}]`, `[{"epoch":5,"next":9223372036854775807}]`,
		`[null]`, "{}", "null", "", strings.Repeat("[", 200) + strings.Repeat("]", 200),
	} {
		f.Add([]byte(seed))
	}
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(f, err)
	f.Cleanup(func() { test.NoError(f, conn.Close()) })
	x := NewIndex(&countingSource{}, func(*Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
	x.view.Store(&view{engines: map[string]*Holder{}, stores: []*Holder{newStore()}})
	x.Apply(x.Stores()[0], &Events{Epoch: 5, Next: 6, Changes: changes(1, 6), ClockMS: 77})
	f.Fuzz(func(t *testing.T, data []byte) {
		var positions []Position
		if json.Unmarshal(data, &positions) != nil {
			return
		}
		response, err := json.Marshal(x.relayEvents(positions, datagram.MaxBytes))
		must.NoError(t, err)
		test.Less(t, 2*datagram.MaxBytes, len(response))
	})
}
