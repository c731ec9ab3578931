package reach

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
)

// memConn is a connection to other askers in memory, which loses messages to the nodes in lost.
type memConn struct {
	addr     netip.AddrPort
	handlers map[string]datagram.Handler
	all      map[netip.AddrPort]*memConn
	lost     map[netip.AddrPort]bool
}

func (c *memConn) Handle(method string, h datagram.Handler) { c.handlers[method] = h }

func (c *memConn) Addr() string { return c.addr.String() }

func (c *memConn) Notify(peers []netip.AddrPort, method string, params any) int {
	data, err := json.Marshal(params)
	if err != nil {
		panic(err)
	}
	for _, peer := range peers {
		if !c.lost[peer] {
			_, _ = c.all[peer].handlers[method](data)
		}
	}
	return 0
}

// askers returns an asker for each outcome that nodes find, the first one's being that of the one that
// asks.
func askers(outcomes []Outcome, lost ...int) []*Asker {
	all, lostAddrs := make(map[netip.AddrPort]*memConn), make(map[netip.AddrPort]bool)
	addr := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)) }
	for _, i := range lost {
		lostAddrs[addr(i)] = true
	}
	var list []*Asker
	for i, outcome := range outcomes {
		conn := &memConn{addr: addr(i), handlers: make(map[string]datagram.Handler), all: all, lost: lostAddrs}
		all[conn.addr] = conn
		a := &Asker{Conn: conn, Probe: func(context.Context, string) Outcome { return outcome }, Peers: func() []netip.AddrPort {
			var peers []netip.AddrPort
			for j := range outcomes {
				if j != i {
					peers = append(peers, addr(j))
				}
			}
			return peers
		}}
		a.Serve()
		list = append(list, a)
	}
	return list
}

func TestOtherNodesTellAnEndedEndpointFromAPartition(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		lost     []int
		want     Outcome
	}{
		{"one of three reaches it", []Outcome{Refused, Refused, Unknown, Connected}, nil, Connected},
		{"all are refused", []Outcome{Refused, Refused, Refused, Refused}, nil, Refused},
		{"nobody gets an answer", []Outcome{Unknown, Unknown, Unknown}, nil, Unknown},
		{"messages are lost", []Outcome{Refused, Connected, Connected}, []int{1, 2}, Unknown},
		{"no other node", []Outcome{Refused}, nil, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				must.Eq(t, c.want, askers(c.outcomes, c.lost...)[0].Ask(ctx, "10.0.1.1:1"))
			})
		})
	}
}

func TestInvalidProbeMessagesAreRejected(t *testing.T) {
	a := askers([]Outcome{Refused})[0]
	for _, handle := range []datagram.Handler{a.handleQuestion, a.handleReply} {
		_, err := handle(json.RawMessage(`{"id":1,"reply_to":"x","outcome":7}`))
		must.Error(t, err)
		_, err = handle(json.RawMessage(`[`))
		must.Error(t, err)
	}
}
