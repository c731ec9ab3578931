package metastore_test

import (
	"io"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/metastore"
)

// TestUnreadableRecords checks that truncated records and invalid values of a keyed topic are
// stored and returned unchanged.
func TestUnreadableRecords(t *testing.T) {
	s := metastore.New()
	for _, raw := range []string{"", "\x05a", "\xff", "\x01a"} {
		s.PutRecord("keyed.t", []byte(raw))
	}
	s.PutInvalidValue("keyed.t", "k", "?")
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for path, want := range map[string]string{
		"/-/log-newest?topic=keyed.t&part=0": `{"items":[{"key":"k","value":"?","offset":4}],"has-more":false,"end":5}` + "\n",
		"/-/log-read?topic=keyed.t&part=0&from=0": "\x00\x00\x00\x00\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\x02\x05a\x00\x00\x00\x01\xff\x00\x00\x00\x02\x01a\x00\x00\x00\x02\x02k",
	} {
		resp, err := server.Client().Get(server.URL + path)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		test.Eq(t, want, string(body))
	}
}
