package logservice

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/standin/hostlist"
	"github.com/cherryward/cherryward/standin/platformlog"
)

// TestHostsReturnsErrUnchanged checks that the list of hosts is only returned after a change.
func TestHostsReturnsErrUnchanged(t *testing.T) {
	list := hostlist.New(hostlist.Config{})
	server := httptest.NewServer(list.Handler())
	t.Cleanup(server.Close)
	hosts := NewHosts(server.URL)
	for _, id := range []string{"n1", "n2"} {
		list.Set(hostwire.Host{ID: id, State: hostwire.Live, Node: true})
		got, err := hosts.List(t.Context())
		must.NoError(t, err)
		must.Eq(t, id, got.Hosts[len(got.Hosts)-1].ID)
		_, err = hosts.List(t.Context())
		must.ErrorIs(t, err, ErrUnchanged)
	}
}

// TestLogOffsetsStartAtOne checks that offsets start at 1, as package changelog expects, and
// not at 0 as those of the log service.
func TestLogOffsetsStartAtOne(t *testing.T) {
	service := platformlog.New(platformlog.Config{})
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	log := NewLog(server.URL, "s")
	offset, err := log.Append(t.Context(), []byte("a"))
	must.NoError(t, err)
	must.Eq(t, 1, offset)
	for _, from := range []int64{0, 1} {
		batch, err := log.Read(t.Context(), from, 10)
		must.NoError(t, err)
		must.Eq(t, 1, batch.First)
		must.Eq(t, 2, batch.Next)
		must.Len(t, 1, batch.Records)
		must.Eq(t, 1, batch.Records[0].Offset)
	}
}
