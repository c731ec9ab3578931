package brittle_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/senders"
)

// FuzzHandle checks that any claim, or end of a loan, is refused or answered.
func FuzzHandle(f *testing.F) {
	for _, seed := range []string{
		`{"lease":"l","endpoint":"e","slots":1,"refusals":3}`, `{"lease":"l","endpoint":"e","slots":9223372036854775807,"refusals":9223372036854775807,"tokens":9223372036854775807,"capacity":9223372036854775807}`,
		`{"lease":"l","endpoint":"e","slots":1e400}`, `{"lease":"l","endpoint":"e","slots":-1}`, `{"lease":"l","endpoint":"e","born":-9223372036854775808,"refused":true}`,
		`{"lease":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "}", "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := newLink()
		brittle.New(brittle.Config{
			Node: "lender", Conn: conn, Changed: func() {}, Now: time.Now, Log: zerolog.Nop(),
			View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: []string{"lender"}} },
			Addr: func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
			Load: func(string, int64) brittle.Load { return brittle.Load{} },
		})
		test.MapLen(t, 2, conn.handlers)
		for range 3 {
			for _, handle := range conn.handlers {
				result, err := handle(data)
				test.True(t, (err == nil) == (result != nil))
			}
		}
	})
}
