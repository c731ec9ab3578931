package operator

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/gen/cherryward/v1/cherrywardv1connect"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/config/configtest"
	"github.com/cherryward/cherryward/internal/result"
)

const credential = "operators-credential"

// fakeNodes implements Nodes with a function.
type fakeNodes func() ([]NodeApplied, error)

func (f fakeNodes) Applied(context.Context) ([]NodeApplied, error) { return f() }

// fakeReporter has a record of request r1. It panics for the request fault and returns
// UnknownRequest for any other.
type fakeReporter struct{}

func (fakeReporter) Status(context.Context) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{Node: "n1"}, nil
}

func (fakeReporter) Explain(_ context.Context, id string) (*pb.ExplainRequestResponse, error) {
	switch id {
	case "r1":
		return &pb.ExplainRequestResponse{RequestId: id, Chosen: "e1"}, nil
	case "fault":
		panic("fault")
	}
	return nil, result.New(result.UnknownRequest)
}

func newServer(log *configtest.Log, nodes fakeNodes) *Server {
	return New(Options{
		CredentialHash: sha256.Sum256([]byte(credential)),
		Configuration:  log, Proposer: log, Nodes: nodes, Reporter: fakeReporter{}, Log: zerolog.Nop(),
	})
}

// serve starts a server on the loopback interface; stop stops it and returns Serve's
// error.
func serve(t *testing.T, log *configtest.Log) (url string, stop func() error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := newServer(log, nil)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(cancel)
	return "http://" + ln.Addr().String(), func() error { cancel(); return <-done }
}

// bearer is a transport that adds an Authorization header to every request.
type bearer struct {
	http.RoundTripper
	header string
}

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", b.header)
	return b.RoundTripper.RoundTrip(r)
}

func client(protocols *http.Protocols, header string) *http.Client {
	return &http.Client{Transport: bearer{&http.Transport{Protocols: protocols}, header}}
}

// detailOf returns the result detail attached to an error.
func detailOf(t *testing.T, err error) *pb.ResultDetail {
	t.Helper()
	var wire *connect.Error
	must.True(t, errors.As(err, &wire), must.Sprint(err))
	must.Len(t, 1, wire.Details(), must.Sprint(err))
	value, err := wire.Details()[0].Value()
	must.NoError(t, err)
	detail, ok := value.(*pb.ResultDetail)
	must.True(t, ok)
	must.Eq(t, strconv.Itoa(int(detail.GetNumber())), wire.Meta().Get(HeaderResult))
	return detail
}

func account(id string, basedOn int64, a *pb.ClientAccount) *connect.Request[pb.ApplyRequest] {
	return connect.NewRequest(&pb.ApplyRequest{
		ChangeId: id, BasedOn: basedOn, Object: &pb.Object{Object: &pb.Object_Account{Account: a}},
	})
}

func TestConfigServiceProtocols(t *testing.T) {
	plain, h2 := new(http.Protocols), new(http.Protocols)
	plain.SetHTTP1(true)
	h2.SetUnencryptedHTTP2(true)
	for name, tc := range map[string]struct {
		protocols *http.Protocols
		opts      []connect.ClientOption
	}{
		"connect":  {plain, nil},
		"json":     {plain, []connect.ClientOption{connect.WithProtoJSON()}},
		"grpc-web": {plain, []connect.ClientOption{connect.WithGRPCWeb()}},
		"grpc":     {h2, []connect.ClientOption{connect.WithGRPC()}},
	} {
		t.Run(name, func(t *testing.T) {
			log := configtest.New()
			url, stop := serve(t, log)
			c := cherrywardv1connect.NewConfigServiceClient(client(tc.protocols, "Bearer "+credential), url, tc.opts...)
			checkConfigService(t, log, c)
			must.NoError(t, stop())
		})
	}
}

func checkConfigService(t *testing.T, log *configtest.Log, c cherrywardv1connect.ConfigServiceClient) {
	ctx := t.Context()
	created, err := c.Apply(ctx, account("c1", 0, &pb.ClientAccount{Name: "mill"}))
	must.NoError(t, err)
	got, err := c.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: "account", Name: "mill"}))
	must.NoError(t, err)
	must.Eq(t, created.Msg.GetRevision(), got.Msg.GetObject().GetRevision())

	// Two operators write concurrently: the second one's error has the current revision.
	_, err = c.Apply(ctx, account("c2", 0, &pb.ClientAccount{Name: "mill", Suspended: true}))
	conflict := detailOf(t, err)
	must.Eq(t, int32(result.RevisionConflict), conflict.GetNumber())
	must.Eq(t, created.Msg.GetRevision(), conflict.GetRevision())

	// The response is lost after the change was applied, then the change is retried.
	log.LoseAnswers.Store(1)
	remove := account("c3", conflict.GetRevision(), &pb.ClientAccount{Name: "mill"})
	remove.Msg.Delete = true
	_, err = c.Apply(ctx, remove)
	must.Eq(t, int32(result.OutcomeUnknown), detailOf(t, err).GetNumber())
	again, err := c.Apply(ctx, connect.NewRequest(remove.Msg))
	must.NoError(t, err)
	must.Eq(t, log.View().Applied(), again.Msg.GetRevision())

	_, err = c.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: "account", Name: "mill"}))
	must.Eq(t, int32(result.UnknownObject), detailOf(t, err).GetNumber())
	list, err := c.List(ctx, connect.NewRequest(&pb.ListRequest{}))
	must.NoError(t, err)
	must.Len(t, 0, list.Msg.GetObjects())
	must.Eq(t, again.Msg.GetRevision(), list.Msg.GetApplied())
}

func TestApplyRejectsBadRequests(t *testing.T) {
	s := newServer(configtest.New(), nil)
	for field, req := range map[string]*pb.ApplyRequest{
		"change_id":    {},
		"based_on":     {ChangeId: "c", BasedOn: -1},
		"object":       {ChangeId: "c"},
		"account.name": account("c", 0, &pb.ClientAccount{Name: "M"}).Msg,
	} {
		_, err := s.Apply(t.Context(), connect.NewRequest(req))
		must.Eq(t, int32(result.InvalidObject), detailOf(t, err).GetNumber())
		must.Eq(t, field, detailOf(t, err).GetField())
	}
}

func TestCredentialAndErrors(t *testing.T) {
	url, stop := serve(t, configtest.New())
	good := "Bearer " + credential
	for _, tc := range []struct {
		header, path, body string
		status             int
		code               result.Code // 0 for success
	}{
		{"", "StatusService/Status", `{}`, 401, result.OperatorCredential},
		{"Bearer ", "StatusService/Status", `{}`, 401, result.OperatorCredential},
		{"Basic " + credential, "StatusService/Status", `{}`, 401, result.OperatorCredential},
		{good + "x", "StatusService/Status", `{}`, 401, result.OperatorCredential},
		{good, "StatusService/Status", `{}`, 200, 0},
		{good, "StatusService/Status", `{`, 400, result.MalformedBody},
		{good, "StatusService/Status", `{"a":"` + strings.Repeat("x", maxRequestBytes) + `"}`, 429, result.BodyTooLarge},
		{good, "StatusService/None", `{}`, 404, result.UnknownPath},
		{good, "StatusService/ExplainRequest", `{"requestId":"r1"}`, 200, 0},
		{good, "StatusService/ExplainRequest", `{"requestId":"r2"}`, 404, result.UnknownRequest},
		{good, "StatusService/ExplainRequest", `{"requestId":"fault"}`, 500, result.Internal},
		{good, "ConfigService/List", `{"kind":"none"}`, 400, result.InvalidObject},
	} {
		res, err := client(nil, tc.header).Post(url+"/cherryward.v1."+tc.path, "application/json", strings.NewReader(tc.body))
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
		number, _ := strconv.Atoi(res.Header.Get(HeaderResult))
		must.Eq(t, tc.status, res.StatusCode, must.Sprint(tc.path, tc.header))
		must.Eq(t, tc.code, result.Code(number), must.Sprint(tc.path, tc.header))
	}
	must.NoError(t, stop())
}

func TestApplyWait(t *testing.T) {
	const applies = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		slowLive bool
		err      error
		waiting  []string
		elapsed  time.Duration
	}{
		"dead node is not waited for":  {false, nil, nil, applies},
		"live node that never applies": {true, nil, []string{"n3"}, maxWait},
		"nodes can't be read":          {false, errors.New("no roster"), nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := newServer(configtest.New(), func() ([]NodeApplied, error) {
					applied := int64(time.Since(start) / applies) // 1 from 300 ms on
					return []NodeApplied{{"n1", 1, true}, {"n2", applied, true}, {"n3", 0, tc.slowLive}}, tc.err
				})
				req := account("c1", 0, &pb.ClientAccount{Name: "mill"})
				req.Msg.Wait = true
				res, err := s.Apply(t.Context(), req)
				must.Eq(t, tc.elapsed, time.Since(start))
				if tc.err != nil {
					must.Eq(t, string(result.Ran), detailOf(t, err).GetRunState())
					return
				}
				must.NoError(t, err)
				must.Eq(t, tc.waiting, res.Msg.GetWaitingFor())
				must.Eq(t, len(tc.waiting) == 0, res.Msg.GetInForceSeconds() == applies.Seconds())
			})
		})
	}
}

func TestWatch(t *testing.T) {
	log := configtest.New()
	url, stop := serve(t, log)
	c := cherrywardv1connect.NewConfigServiceClient(client(nil, "Bearer "+credential), url)
	ctx := t.Context()
	for i, a := range []*pb.ClientAccount{{Name: "a"}, {Name: "b"}} {
		_, err := c.Apply(ctx, account("c"+strconv.Itoa(i), 0, a))
		must.NoError(t, err)
	}
	stream, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{After: 1}))
	must.NoError(t, err)
	must.True(t, stream.Receive())
	must.Eq(t, "b", stream.Msg().GetObject().GetAccount().GetName())
	remove := account("gone", 2, &pb.ClientAccount{Name: "b"})
	remove.Msg.Delete = true
	_, err = c.Apply(ctx, remove)
	must.NoError(t, err)
	must.True(t, stream.Receive())
	must.True(t, stream.Msg().GetDeleted())
	must.Eq(t, "gone", stream.Msg().GetChangeId())
	must.Eq(t, 3, stream.Msg().GetObject().GetRevision())

	// A graceful stop ends the watch with Draining and then returns.
	must.NoError(t, stop())
	must.False(t, stream.Receive())
	must.Eq(t, int32(result.Draining), detailOf(t, stream.Err()).GetNumber())
}

func TestWatchRejections(t *testing.T) {
	log := configtest.New()
	log.Reset(9, func(func(config.Entry) bool) {})
	s := newServer(log, nil)
	err := s.Watch(t.Context(), connect.NewRequest(&pb.WatchRequest{After: 8}), nil)
	must.Eq(t, int32(result.WatchOffsetGone), detailOf(t, err).GetNumber())
	s.watchers.Store(maxWatchers)
	err = s.Watch(t.Context(), connect.NewRequest(&pb.WatchRequest{After: 9}), nil)
	must.Eq(t, int32(result.Overloaded), detailOf(t, err).GetNumber())
	must.Eq(t, maxWatchers, int(s.watchers.Load()))
}
