package ctl

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"

	"github.com/cherryward/cherryward/internal/tcp/tcptest"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/metastore"
)

// TestDomains checks that evacuated domains are listed, even without endpoints, with the counts of
// their endpoints' entries, and that entries that can't be decoded are ignored.
func TestDomains(t *testing.T) {
	store := metastore.New()
	served := httptest.NewServer(store.Handler())
	defer served.Close()
	put := func(id, zone, state string, coldMS int) {
		store.Put(platform.TopicEndpoints, id, fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":%q,"version":"v1","slots":8,"state":%q,"cold-left-ms":%d,"seq":1}`, zone, state, coldMS))
	}
	put("a", "north", "ready", 0)
	put("b", "north", "ready", 1500)
	put("c", "north", "ready", 2500)
	put("d", "east", "draining", 0)
	put("e", "east", "asleep", 0)
	store.Put(platform.TopicOperator, "config", []byte("{}"))
	store.Put(platform.TopicOperator, "evacuate/east", []byte("{}"))
	store.Put(platform.TopicOperator, "evacuate/west", []byte("{}"))
	store.Put(platform.TopicOperator, "evacuate/north", []byte("{}"))
	store.Put(platform.TopicOperator, "evacuate/north", nil)

	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Run(t.Context(), append([]string{"cherryctl", "domains"}, args...), Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		return code, out.String() + errs.String()
	}
	addr := strings.TrimPrefix(served.URL, "http://")
	code, out := run("--store", addr)
	must.Eq(t, 0, code, must.Sprint(out))
	var rows [][]string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Fields(line))
	}
	test.Eq(t, [][]string{
		{"DOMAIN", "EVACUATED", "ENDPOINTS", "COLD", "COLD", "FOR", "DRAINING"},
		{"east", "true", "1", "0", "0s", "1"}, {"north", "false", "3", "2", "2.5s", "0"}, {"west", "true", "0", "0", "0s", "0"},
	}, rows)
	code, out = run("--store", addr, "-o", "json")
	must.Eq(t, 0, code, must.Sprint(out))
	test.Eq(t, 2500, gjson.Get(out, `#(domain=="north").cold_for_ms`).Int())
	code, out = run("--store", "nowhere")
	test.Eq(t, 2, code, test.Sprint(out))
	code, _ = run("--store", tcptest.RefusingAddr(t))
	test.NotEq(t, 0, code)
}
