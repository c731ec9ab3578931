package reach

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/datagram"
)

// noConn discards all notifications.
type noConn struct{}

func (noConn) Handle(string, datagram.Handler) {}

func (noConn) Addr() string { return "10.0.0.3:7" }

func (noConn) Notify([]netip.AddrPort, string, any) int { return 0 }

// FuzzHandle checks that any question or reply is rejected or carried out, and that no more than maxServed questions are
// at the same time.
func FuzzHandle(f *testing.F) {
	for _, seed := range []string{
		`{"id":1,"reply_to":"10.0.0.1:7","addr":"10.0.0.2:80"}`, `{"id":1,"reply_to":"10.0.0.1:70000"}`, `{"id":-1}`, `{"id":1e400}`, `{"id":1,"outcome":2}`,
		`{"id":1,"outcome":99}`, "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		probed := make(chan string, 1)
		a := &Asker{Conn: noConn{}, Probe: func(_ context.Context, addr string) Outcome { probed <- addr; return Refused }}
		if _, err := a.handleQuestion(data); err == nil {
			<-probed
		}
		id, replies := a.register()
		defer a.unregister(id)
		if _, err := a.handleReply(data); err == nil && len(replies) > 0 {
			o := <-replies
			test.True(t, o >= Unknown && o <= Connected)
		}
	})
}
