package member_test

import (
	"context"
	"fmt"

	"github.com/cherryward/cherryward/coord/member"
)

// loopback is a Transport that calls the list registered for each address
// directly.
type loopback map[string]*member.List

var _ member.Transport = loopback(nil)

func (l loopback) Exchange(_ context.Context, addr string, req *member.Message) (*member.Message, error) {
	return l[addr].HandleExchange(req), nil
}

func Example() {
	roster := []member.RosterEntry{
		{ID: "a", Addr: "127.0.0.1:7401", Domain: "north"},
		{ID: "b", Addr: "127.0.0.1:7402", Domain: "south"},
	}
	net := loopback{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, self := range roster {
		list, err := member.New(member.Config{Self: self, Transport: net, Seed: uint64(i)})
		if err != nil {
			fmt.Println(err)
			return
		}
		list.SetRoster(roster)
		net[self.Addr] = list
	}
	for _, list := range net {
		go func() { _ = list.Run(ctx) }()
	}
	net["127.0.0.1:7402"].Leave()
	views, unsubscribe := net["127.0.0.1:7401"].Subscribe()
	defer unsubscribe()
	for view := range views {
		if b, _ := view.Lookup("b"); b.State == member.Leaving {
			fmt.Println(b.ID, b.State)
			return
		}
	}
	// Output: b leaving
}
