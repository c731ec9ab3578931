package logservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/hostwire"
)

// TestOddHostsAreHeldByOthers guards against a node that stops following the list of hosts over one entry in it.
func TestOddHostsAreHeldByOthers(t *testing.T) {
	const first, last = `{"id":"n1","addr":"10.0.0.1:7","domain":"d","state":"live","node":true}`, `{"id":"n2","addr":"10.0.0.2:7","domain":"d","state":"leaving","node":true}`
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	for _, odd := range []string{
		"null", "7", `"x"`, "[]", "{}", deep, `{"id":7}`, `{"id":"n3","addr":7}`, `{"id":"n3","addr":["10.0.0.3:7"]}`, `{"id":"n3","addr":` + deep + "}",
		`{"id":"n3","addr":"10.0.0.3:65536"}`, `{"id":"n3","addr":"10.0.0.3:70000"}`, `{"id":"n3","addr":"10.0.0.3:-1"}`, `{"id":"n3","addr":"10.0.0.3:"}`,
		`{"id":"n3","addr":"10.0.0.3:0080"}`, `{"id":"n3","addr":"[::1%eth0]:80"}`, `{"id":"n3","addr":"10.0.0.3:7","node":1e400}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte(`{"version":3,"hosts":[` + first + "," + odd + "," + last + "]}"))
			test.NoError(t, err)
		}))
		list, err := NewHosts(server.URL).List(t.Context())
		server.Close()
		must.NoError(t, err, must.Sprintf("%.60s", odd))
		test.Eq(t, &hostwire.List{Version: 3, Hosts: []hostwire.Host{
			{ID: "n1", Addr: "10.0.0.1:7", Domain: "d", State: hostwire.Live, Node: true},
			{ID: "n2", Addr: "10.0.0.2:7", Domain: "d", State: hostwire.Leaving, Node: true},
		}}, list, test.Sprintf("%.60s", odd))
	}
}

// FuzzDecodeHosts checks that a list is rejected, or has hosts with an id only.
func FuzzDecodeHosts(f *testing.F) {
	for _, seed := range []string{
		`{"version":3,"hosts":[{"id":"n1","addr":"10.0.0.1:7","state":"live","node":true},7,{"id":"n2","addr":"10.0.0.1:70000"}]}`, `{"version":1e400}`, `{"hosts":{}}`, "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := decodeHosts(data)
		if err != nil {
			return
		}
		for _, h := range list.Hosts {
			test.True(t, h.ID != "" && (h.Addr == "" || strings.Contains(h.Addr, ":")))
		}
	})
}
