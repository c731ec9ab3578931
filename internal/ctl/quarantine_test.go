package ctl

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/metastore"
)

// runQuarantine runs the quarantine command and returns its exit code and both outputs.
func runQuarantine(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Run(t.Context(), append([]string{"cherryctl", "quarantine"}, args...), Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// TestQuarantine checks that quarantined requests are listed, that nodes' entries and records that can't
// be decoded are ignored, and that a quarantined request can be released.
func TestQuarantine(t *testing.T) {
	const held, over = "00112233445566778899aabbccddeeff", "ffeeddccbbaa99887766554433221100"
	store := metastore.New()
	served := httptest.NewServer(store.Handler())
	defer served.Close()
	addr := strings.TrimPrefix(served.URL, "http://")
	put := func(key, value string) { store.Put(platform.TopicNodes, key, []byte(value)) }
	now := time.Now()
	put("n1", `{"addr":"10.0.0.1:1","domain":"north"}`)
	put("quarantine/"+over, fmt.Sprintf(`{"until_ms":%d,"since_ms":%d,"node":"n2","endpoints":["a@1","b@1","c@1"]}`, now.Add(-time.Minute).UnixMilli(), now.Add(-time.Hour).UnixMilli()))
	put("quarantine/"+held, fmt.Sprintf(`{"until_ms":%d,"since_ms":%d,"node":"n1","endpoints":["a@2","b@2","c@2"],"part":true}`, now.Add(time.Minute).UnixMilli(), now.UnixMilli()))
	put("quarantine/zz", "{")

	code, out, errs := runQuarantine(t, "list", "--store", addr)
	must.Eq(t, 0, code, must.Sprint(errs))
	lines := strings.Split(strings.TrimSpace(out), "\n")
	must.SliceLen(t, 3, lines)
	test.StrContains(t, lines[1], held+"  true")
	test.StrContains(t, lines[1], "n1    a@2,b@2,c@2")
	test.StrContains(t, lines[1], "part")
	test.StrContains(t, lines[2], over+"  false")
	test.StrContains(t, lines[2], "request")

	code, out, _ = runQuarantine(t, "list", "--store", addr, "-o", "json")
	must.Eq(t, 0, code)
	test.Eq(t, held, gjson.Get(out, "0.fingerprint").String())
	test.Eq(t, 3, gjson.Get(out, "0.endpoints.#").Int())

	code, out, errs = runQuarantine(t, "release", "--store", addr, held)
	must.Eq(t, 0, code, must.Sprint(errs))
	test.Eq(t, held+" released\n", out)
	_, out, _ = runQuarantine(t, "list", "--store", addr, "-o", "json")
	test.Eq(t, 1, gjson.Get(out, "#").Int())
	code, _, errs = runQuarantine(t, "release", "--store", addr, held)
	test.Eq(t, exitFailed, code)
	test.StrContains(t, errs, "no request with fingerprint "+held)
}

func TestQuarantineWrongInput(t *testing.T) {
	for _, args := range [][]string{
		{}, {"list"}, {"list", "--store", "somewhere"}, {"list", "--store", "127.0.0.1:0"}, {"list", "--store", "127.0.0.1:1", "x"},
		{"release", "--store", "127.0.0.1:1"}, {"release", "--store", "127.0.0.1:1", "abc"}, {"list", "--stores", "127.0.0.1:1"},
	} {
		code, _, errs := runQuarantine(t, args...)
		test.Eq(t, exitUsage, code, test.Sprint(args, errs))
	}
	code, _, errs := runQuarantine(t, "list", "--store", "127.0.0.1:1")
	test.Eq(t, exitFailed, code)
	test.StrContains(t, errs, "5005")
}
