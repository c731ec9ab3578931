package ctl

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config/configtest"
	"github.com/cherryward/cherryward/internal/operator"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// fakeSystem is a system of a live node, which has applied all changes, and a dead node.
type fakeSystem struct {
	log *configtest.Log
	// requestID is the request of which the node has a record.
	requestID string
}

func (f fakeSystem) Applied(context.Context) ([]operator.NodeApplied, error) {
	return []operator.NodeApplied{{ID: "n1", Applied: f.log.View().Applied(), Live: true}, {ID: "n2"}}, nil
}

func (f fakeSystem) Status(context.Context) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{
		Node:      "n1",
		Nodes:     []*pb.NodeStatus{{Id: "n1", FailureDomain: "north", State: "ready", Applied: 7, Stale: true, Incarnation: 255}},
		Endpoints: []*pb.EndpointStatus{{Name: "e1", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE, Owner: "n1", CacheUsed: 0.5}},
	}, nil
}

func (f fakeSystem) Explain(_ context.Context, id string) (*pb.ExplainRequestResponse, error) {
	if id != f.requestID {
		return nil, result.New(result.UnknownRequest)
	}
	return &pb.ExplainRequestResponse{RequestId: id, Chosen: "e1", Candidates: []*pb.Candidate{{Endpoint: "e1", Reason: "least cost"}}}, nil
}

// startNode starts a node's operator listener on the loopback interface.
func startNode(t *testing.T, system fakeSystem) (url string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := operator.New(operator.Options{
		CredentialHash: sha256.Sum256([]byte("secret")),
		Configuration:  system.log, Proposer: system.log, Nodes: system, Reporter: system, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); must.NoError(t, <-done) })
	return "http://" + ln.Addr().String()
}

// deadServer returns the URL of a port that nothing listens on until the test ends.
func deadServer(t *testing.T) string {
	t.Helper()
	return "http://" + tcptest.RefusingAddr(t)
}

type toolRunner struct {
	t       *testing.T
	servers string
}

func (r toolRunner) run(in string, args ...string) (code int, out string) {
	r.t.Helper()
	r.t.Setenv("CHERRYCTL_SERVER", r.servers)
	r.t.Setenv("CHERRYCTL_TOKEN", "secret")
	var buf bytes.Buffer
	code = Run(r.t.Context(), append([]string{"cherryctl"}, args...), Streams{In: strings.NewReader(in), Out: &buf, Err: &buf})
	return code, buf.String()
}

// expect runs the tool and checks that it exits with code and prints the parts.
func (r toolRunner) expect(code int, in, args string, parts ...string) string {
	r.t.Helper()
	got, out := r.run(in, strings.Fields(args)...)
	must.Eq(r.t, code, got, must.Sprint(args, "\n", out))
	for _, part := range parts {
		must.StrContains(r.t, out, part, must.Sprint(args))
	}
	return out
}

// allKindsFile has objects of all kinds except adapter, in an order in which they can't be
// created.
const allKindsFile = `[
 {"endpoint": {"name": "e1", "kind": "ENDPOINT_KIND_ENGINE", "url": "http://127.0.0.1:9", "failure_domain": "north", "models": ["m"]}},
 {"model": {"name": "m", "version": "v1"}}
]
{"version": {"name": "m@v1", "model": "m", "version": "v1"}}
{"account": {"name": "mill"}}`

func TestConfigurationEndToEnd(t *testing.T) {
	log := configtest.New()
	node := startNode(t, fakeSystem{log: log})
	r := toolRunner{t, deadServer(t) + "," + node}

	r.expect(0, allKindsFile, "apply -f - --wait", "accepted   account/mill", "accepted   endpoint/e1", "in force at every live node")
	must.Eq(t, 4, log.View().Applied())
	r.expect(0, allKindsFile, "apply -f -", "unchanged  endpoint/e1")
	must.Eq(t, 4, log.View().Applied())

	// The output of get can be edited and applied; it includes the revision.
	path := filepath.Join(t.TempDir(), "account.json")
	edited := strings.ReplaceAll(r.expect(0, "", "get -o json account mill"), `"name"`, `"suspended": true, "name"`)
	must.NoError(t, os.WriteFile(path, []byte(edited), 0o600))
	r.expect(0, "", "apply -f "+path, "accepted   account/mill                     revision 5")
	stale := strings.ReplaceAll(edited, `"suspended": true, `, `"weight": 2, `)
	r.expect(1, stale, "apply -f -", "conflict   account/mill", "5001 revision_conflict", "write with the revision given")
	r.expect(1, allKindsFile+stale, "apply -f - --wait", "conflict   account/mill", "in force at every live node")

	r.expect(0, "", "get", "KIND      NAME", "endpoint  e1", `{"name":"e1",`)
	r.expect(1, "", "get model none", "5002 unknown_object")
	r.expect(2, "", "get none", "5003 invalid_object (kind)")
	r.expect(1, "", "delete model m", "5007 still_referenced", `endpoint "e1"`)
	r.expect(1, "", "delete endpoint e1 --based-on 1", "5001 revision_conflict")
	r.expect(0, "", "delete endpoint e1 --wait", "deleted    endpoint/e1", "in force")
	r.expect(2, "", "delete nothing e1", "(kind)")
	r.expect(2, `{"adapter": {"name": "a", "model": "none"}}`, "apply -f -", "adapter.model")

	must.NoError(t, os.WriteFile(path, nil, 0o600))
	r.expect(2, "", "apply -f "+path, "no objects given")
	r.expect(2, "", "apply -f "+path+"x", "no such file")
}

func TestLostResponseIsRetriedAtNextServer(t *testing.T) {
	log := configtest.New()
	r := toolRunner{t, startNode(t, fakeSystem{log: log}) + "," + startNode(t, fakeSystem{log: log})}
	log.LoseAnswers.Store(1)
	r.expect(0, `{"account": {"name": "mill"}}`, "apply -f -", "accepted   account/mill                     revision 1")
	must.Eq(t, 1, log.View().Applied())
	log.LoseAnswers.Store(2)
	r.expect(1, `{"account": {"name": "lab"}}`, "apply -f -", "5004 outcome_unknown")
	must.Eq(t, 2, log.View().Applied())
}

func TestInput(t *testing.T) {
	r := toolRunner{t, deadServer(t)}
	for in, part := range map[string]string{
		`{"account": {"name": "a"}} {`:                               "after 1 objects",
		`[{"account": {"name": "a"}}, {"account": {"naame": "a"}}]`:  `(line 1:14): unknown field "naame"`,
		`{"model": {"name": "m", "rollout_min_available": 2}}`:       "model.rollout_min_available",
		`{"account": {"name": "a", "limits": {"concurrent_runs":"x"`: "after 0 objects",
		`{"revision": 1}`: "no object given",
		`7`:               "object 1",
	} {
		r.expect(2, in, "apply -f -", part)
	}
	r.expect(1, `{"account": {"name": "a"}}`, "apply -f -", "failed     account/a", "4001 endpoint_unreachable")
	r.expect(2, "", "--server nonsense get", "--server")
	r.expect(2, "", "get a b c", "want arguments [KIND [NAME]]")
	r.expect(2, "", "explain 1", `no result code "1"`)
	r.expect(0, "", "explain executor_gone", "3009", "may_have_run")
}

// TestOtherProgramAtServerAddress checks that the next server is tried if another program responds at a
// server's address, as happens if it reuses the port of a node that has ended.
func TestOtherProgramAtServerAddress(t *testing.T) {
	foreign := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(foreign.Close)
	r := toolRunner{t, foreign.URL + "," + startNode(t, fakeSystem{log: configtest.New()})}
	r.expect(0, "", "status", "as seen by node n1")
	r.servers = foreign.URL
	r.expect(1, "", "status", "4001 endpoint_unreachable", "no node answers at this address")
	for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		r.servers = other.URL + "," + startNode(t, fakeSystem{log: configtest.New()})
		r.expect(0, "", "status", "as seen by node n1")
		other.Close()
	}
}

func TestStatusAndExplain(t *testing.T) {
	log := configtest.New()
	r := toolRunner{t, startNode(t, fakeSystem{log: log}) + "," + startNode(t, fakeSystem{log: log, requestID: "r1"})}
	r.expect(0, "", "status", "as seen by node n1", "n1             north           ready, stale  7        ff", "engine  n1", "50%")
	r.expect(0, "", "status -o json", `"failure_domain": "north"`)
	r.expect(0, "", "explain-request r1", "went to e1", "*  e1", "least cost")
	r.expect(1, "", "explain-request r2", "5010 unknown_request")
	r.expect(1, "", "--token wrong status", "5006 operator_credential")
}

func TestWatchContinuesAtNextServer(t *testing.T) {
	log := configtest.New()
	r := toolRunner{t, deadServer(t) + "," + startNode(t, fakeSystem{log: log})}
	r.expect(0, `{"account": {"name": "a"}} {"account": {"name": "b"}}`, "apply -f -")
	r.expect(0, "", "delete account b")
	ctx, cancel := context.WithCancel(t.Context())
	reader, out := io.Pipe()
	done := make(chan int, 1)
	go func() {
		done <- Run(ctx, []string{"cherryctl", "watch", "--after", "1"}, Streams{Out: out, Err: io.Discard})
	}()
	lines := bufio.NewScanner(reader)
	for _, want := range []string{"2        written  account/b ctl-", "3        deleted  account/b ctl-"} {
		must.True(t, lines.Scan())
		must.StrHasPrefix(t, want, lines.Text())
	}
	cancel()
	must.Eq(t, exitOK, <-done)
}

func TestLoad(t *testing.T) {
	const token = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	answers := map[string]string{
		"1": token + token + "data: [DONE]\n\n",
		"2": token, // no [DONE] event
		"3": token + `data: {"error":{"code":"endpoint_broke_off"}}` + "\n\n",
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		number := strings.TrimPrefix(gjson.GetBytes(body, "messages.0.content").String(), "load request ")
		if answer, ok := answers[number]; ok && r.Header.Get("Authorization") == "Bearer k" {
			_, _ = io.WriteString(w, answer)
			return
		}
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"error":{"code":"shed"}}`)
	}))
	defer node.Close()
	r := toolRunner{t, ""}
	r.expect(0, "", "load --key k --model m --requests 5 --concurrency 2 --url "+node.URL,
		"ok                  1", "truncated           1", "endpoint_broke_off  1", "shed                2", "5 requests in", "p99")
	r.expect(1, "", "load --key bad --model m --requests 1 --url "+node.URL, "no request received a complete answer")
	r.expect(1, "", "load --key k --model m --requests 1 --url "+deadServer(t), "connection_failed  1")
	r.expect(2, "", "load --key k --model m --url http://10.0.0.1:80", "loopback")
	r.expect(2, "", "load --key k --model m --requests 0 --url "+node.URL, "--requests")
	r.expect(2, "", "load --key k --model m --duration 1h --url "+node.URL, "--duration")
}
