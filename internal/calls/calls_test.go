package calls

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/result"
)

var sharedKey = []byte("0123456789abcdef")

// TestIdempotent checks that a call counts as idempotent only if the service can't resolve its path
// to one outside of the declared prefix.
func TestIdempotent(t *testing.T) {
	e := &pb.Endpoint{Idempotent: []string{"GET /melts", "POST /search/"}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/melts/17?after=..", true},
		{"GET", "/melts/a..b/%2e%2efile", true},
		{"POST", "/search/", true},
		{"POST", "/melts/17", false},
		{"POST", "/search/../charges", false},
		{"POST", "/search/%2E%2e/charges", false},
		{"POST", "/search/%2e%2e%2fcharges", false},
		{"POST", "/search/..;v=1/charges", false},
		{"POST", `/search/..\charges`, false},
		{"POST", "/search/./x", false},
		{"POST", "/search/%zz", false},
	}
	for _, c := range cases {
		got := idempotent(e, &ServiceCall{Method: c.method, Path: c.path})
		must.Eq(t, c.want, got, must.Sprint(c.method, c.path))
	}
}

// TestOldestHandoversEvicted checks that a node at the limit of recorded handovers evicts the
// oldest one when it records another.
func TestOldestHandoversEvicted(t *testing.T) {
	s, err := New(sharedKey, nil, zerolog.Nop())
	must.NoError(t, err)
	announce := func(run uint64) {
		from := ticket.Incarnation{Node: "n1", Number: run}
		s.recordHandover(&handoverNotice{From: []ticket.Incarnation{from}, To: ticket.Incarnation{Node: "n2", Number: run}}, true)
	}
	for run := range uint64(maxHandovers + 1) {
		announce(run)
	}
	must.Eq(t, []handoverNotice{{
		From: []ticket.Incarnation{{Node: "n1", Number: maxHandovers}},
		To:   ticket.Incarnation{Node: "n2", Number: maxHandovers},
	}}, s.handoversOf(&ticket.Incarnation{Node: "n1", Number: maxHandovers}))
	must.Eq(t, maxHandovers, s.handovers.Len())
}

// TestUnknownCallKindRefused checks that a forwarded call of a kind unknown to this release is
// refused.
func TestUnknownCallKindRefused(t *testing.T) {
	s, err := New(sharedKey, nil, zerolog.Nop())
	must.NoError(t, err)
	_, err = s.runFunc(&TicketedCall{TimeLeft: time.Second})(t.Context())
	must.Eq(t, ticket.NotRun, ticket.StateOf(err))
	must.True(t, result.Is(err, result.MalformedBody))
}

// TestExpiredAvoidEntriesRemoved checks that expired entries for unreachable endpoints are removed,
// so that they do not use memory.
func TestExpiredAvoidEntriesRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlainClient(nil, nil, nil)
		for _, name := range []string{"a", "b"} {
			p.recordFailure(&pb.Endpoint{Name: name}, result.New(result.EndpointUnreachable))
			time.Sleep(avoidDuration + 1)
		}
		must.MapLen(t, 1, p.avoidUntil)
	})
}
