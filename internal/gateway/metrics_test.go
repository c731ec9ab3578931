package gateway

import (
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/callerconn"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
	"github.com/cherryward/cherryward/internal/weights"
)

// TestMetricsAreDocumented checks that the operators' documentation lists exactly the served
// metrics.
func TestMetricsAreDocumented(t *testing.T) {
	n := &Node{
		state: newState(noBounds, zerolog.Nop()), fleet: fleet.New(zerolog.Nop()), peers: &peerload.Exchange{Table: peerload.NewTable()},
		roster:     newRoster("n", nodeEntry{}, nil, nil, nil, zerolog.Nop()),
		quarantine: &quarantine.Service{Table: quarantine.NewTable(time.Now)},
		pace:       &enginepace.Services{},
		brittle:    &brittle.Service{},
		network:    &network{},
		storeEra:   func() int64 { return 0 },
		buffers:    forward.NewBuffers(0),
		pools:      callerconn.Pools{Heads: hostplan.NewPool(0)},
	}
	n.callers = &server{guard: callerconn.New(callerconn.Limits{}, n.pools, callerconn.Refusals{}, zerolog.Nop())}
	n.boot.Store(testBoot(t))
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	defer conn.Close()
	n.origins = origin.New(origin.Config{Conn: conn, Now: time.Now, Streams: origin.NewStreamLog(origin.StreamLogConfig{Now: time.Now})})
	r := newRecorder(n)
	r.recordLoadAge(time.Second)
	r.recordRead("config", &relay.Read{Bytes: 1})
	r.jobPostponed(weights.PostponedSilent)
	r.Refused(&routing.Route{}, "no_slot")
	r.PlacedInOtherDomain(&routing.Route{}, true)
	r.Forwarded(&forward.Outcome{Route: &routing.Route{GapObjective: time.Second / 2}, TimeToFirstByte: time.Second, LongestPause: time.Second, Total: time.Second})
	r.Forwarded(&forward.Outcome{Helper: true, Excesses: []upstream.Part{upstream.PartBody}})
	r.Forwarded(&forward.Outcome{Passed: true})
	found := origin.OwnRecord
	r.Forwarded(&forward.Outcome{Origin: &found})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	names := func(text string) []string {
		found := regexp.MustCompile(`cherryward_gateway_[a-z_]+`).FindAllString(text, -1)
		for i, name := range found {
			found[i] = regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
		}
		slices.Sort(found)
		return slices.Compact(found)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	test.Eq(t, names(string(page)), names(w.Body.String()))
}
