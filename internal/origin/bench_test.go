package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cherryward/cherryward/internal/datagram"
)

// busyRecords is the number of records of a node if each node begins 97 streams a second.
const busyRecords = 7000

// encodingConn encodes messages as they are sent, and drops them.
type encodingConn struct {
	handlers map[string]datagram.Handler
	bytes    int
}

func (c *encodingConn) Handle(method string, h datagram.Handler) { c.handlers[method] = h }

func (c *encodingConn) Notify(peers []netip.AddrPort, _ string, params any) int {
	data, err := json.Marshal(params)
	if err != nil {
		panic(err) // can't fail for the messages
	}
	c.bytes += len(peers) * len(data)
	return 0
}

func (c *encodingConn) Call(ctx context.Context, _ netip.AddrPort, _ string, _, _ any) error {
	return ctx.Err()
}

// newBenchService returns a service that lists the other nodes of a system of the given size.
func newBenchService(size int, retention time.Duration) (*Service, *encodingConn) {
	conn := &encodingConn{handlers: make(map[string]datagram.Handler)}
	s := New(Config{Conn: conn, Now: time.Now, Retention: func() time.Duration { return retention }, Sole: noSole, Streams: (&memoryLog{}).open()})
	peers := make([]Peer, size-1)
	for i := range peers {
		peers[i] = newPeer(i)
	}
	s.SetPeers(peers)
	return s, conn
}

// BenchmarkCopy measures what a node that starts costs one that it copies a page of records from, which has
// the records of the busiest systems.
func BenchmarkCopy(b *testing.B) {
	for _, size := range []int{6, 85, 985} {
		s, conn := newBenchService(size, time.Hour)
		for i := range busyRecords {
			s.table.Add(KeyOf("yard", fmt.Sprint(i)), Origin{Service: service, Release: "v1"})
		}
		data, err := json.Marshal(copyRequest{Home: newPeer(0).Addr, Pages: busyRecords / pageRecords})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(size, " nodes"), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := conn.handlers[copyMethod](data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRecord measures what a stream costs the node that records its origin, without the system calls,
// and what a record costs a home.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{6, 85, 985} {
		s, _ := newBenchService(size, retention)
		o := Origin{Service: service, Release: "v1"}
		b.Run(fmt.Sprint("send, ", size, " nodes"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Record(KeyOf("yard", fmt.Sprint(i)), o)
				if i%16 == 0 {
					s.resend()
				}
			}
		})
	}
	n := newNetwork(1).nodes[0]
	data, err := json.Marshal(recordsMessage{[]record{{KeyOf("yard", "r"), Origin{Service: service, Release: "v1"}}}})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("receive", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := n.handlers[recordsMethod](data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
