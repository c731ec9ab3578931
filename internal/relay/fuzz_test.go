package relay

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// FuzzServe checks that any request for a copy is refused or answered, with records of the copy.
func FuzzServe(f *testing.F) {
	for _, seed := range []string{
		`{"topic":"t","from":10}`, `{"topic":"t","from":-9223372036854775808}`, `{"topic":"t","from":1e400}`, `{"topic":"t","from":10,"long":true,"held":[{"key":"long","offset":-1}]}`,
		`{"topic":"t","part":-1}`, `{"topic":"t","part":0,"next":11}`, `{"topic":"t","key":"long","offset":10,"base":-1,"part":9223372036854775807}`,
		`{"topic":"t","key":"long","offset":10,"base":-1,"part":0}`, `{"topic":"none"}`, "null", "", strings.Repeat("[", 200) + strings.Repeat("]", 200),
	} {
		f.Add([]byte(seed))
	}
	network := newSimNetwork(0)
	conn := network.connect(netip.MustParseAddrPort("10.0.0.1:7"), datagram.MaxBytes)
	c := filledCopy(time.Now())
	c.Apply(follow.Batch{Records: []follow.Record{longRecordOfTest}, Next: 11, ConfirmedAt: time.Now()})
	New(conn).Serve("t", c)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, method := range []string{methodRecords, methodSnapshot, methodPart} {
			result, err := conn.handlers[method](data)
			if r, ok := result.(recordsResponse); ok && err == nil {
				test.LessEq(t, 3, len(r.Records))
			}
		}
		test.MapLen(t, 3, c.latest)
		test.LessEq(t, 1, len(c.long))
	})
}
