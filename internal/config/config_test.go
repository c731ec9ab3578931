package config

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

const engineKind, serviceKind = pb.EndpointKind_ENDPOINT_KIND_ENGINE, pb.EndpointKind_ENDPOINT_KIND_SERVICE

func engine(name string, models ...string) *pb.Endpoint {
	return &pb.Endpoint{Name: name, Kind: engineKind, Url: "http://10.0.0.1:80", FailureDomain: "north", Models: models}
}

// seedView returns a view with an account, two versions, a model, an adapter and an
// engine that reference each other.
func seedView() *View {
	view := NewView()
	for i, v := range []Value{
		&pb.ClientAccount{Name: "mill", KeyHashes: []string{HashKey("k1")}},
		&pb.ModelVersion{Name: "m@v1", Model: "m", Version: "v1"},
		&pb.ModelVersion{Name: "m@bad", Model: "m", Version: "bad", Withdrawn: true},
		&pb.Model{Name: "m", Version: "v1"},
		&pb.Adapter{Name: "ad", Model: "m", Accounts: []string{"mill"}},
		engine("e1", "m"),
	} {
		view = view.With(Entry{Revision: int64(i + 1), Kind: KindOf(v), Name: v.GetName(), Value: v})
	}
	return view
}

func TestCheckPut(t *testing.T) {
	with := func(change func(*pb.Endpoint)) *pb.Endpoint {
		e := engine("e2", "m")
		change(e)
		return e
	}
	service := func(calls ...string) *pb.Endpoint {
		return &pb.Endpoint{Name: "s", Kind: serviceKind, Url: "https://[::1]:1", FailureDomain: "n", Service: "ledger", Idempotent: calls}
	}
	for _, tc := range []struct {
		value Value
		field string // empty if the value is valid
	}{
		{&pb.ClientAccount{Name: "new", KeyHashes: []string{HashKey("k2")}, Limits: &pb.Limits{RequestsPerSecond: 1.5}}, ""},
		{&pb.ClientAccount{Name: "mill", KeyHashes: []string{HashKey("k1"), HashKey("k2")}}, ""},
		{&pb.ClientAccount{Name: "new", KeyHashes: []string{HashKey("k2"), HashKey("k1")}}, "account.key_hashes[1]"},
		{&pb.ClientAccount{Name: "new", KeyHashes: []string{HashKey("k2"), HashKey("k2")}}, "account.key_hashes[1]"},
		{&pb.ClientAccount{Name: "new", KeyHashes: []string{strings.ToUpper(HashKey("k2"))}}, "account.key_hashes[0]"},
		{&pb.ClientAccount{Name: "new", KeyHashes: []string{"abcd"}}, "account.key_hashes[0]"},
		{&pb.ClientAccount{Name: "new", KeyHashes: make([]string, maxKeyHashes+1)}, "account.key_hashes"},
		{&pb.ClientAccount{}, "account.name"},
		{&pb.ClientAccount{Name: strings.Repeat("a", 64)}, "account.name"},
		{&pb.ClientAccount{Name: "Mill"}, "account.name"},
		{&pb.ClientAccount{Name: "a", Weight: -1}, "account.weight"},
		{&pb.ClientAccount{Name: "a", Weight: math.NaN()}, "account.weight"},
		{&pb.ClientAccount{Name: "a", Limits: &pb.Limits{TokensPerSecond: math.Inf(1)}}, "account.limits.tokens_per_second"},
		{&pb.ClientAccount{Name: "a", Limits: &pb.Limits{ConcurrentRuns: -1}}, "account.limits.concurrent_runs"},
		{&pb.ModelVersion{Name: "x@v1", Model: "x", Version: "v1"}, ""},
		{&pb.ModelVersion{Name: "x-v1", Model: "x", Version: "v1"}, "version.name"},
		{&pb.ModelVersion{Name: "x@", Model: "x"}, "version.version"},
		{&pb.Model{Name: "x"}, ""},
		{&pb.Model{Name: "m", Version: "v2"}, "model.version"},
		{&pb.Model{Name: "m", Version: "bad"}, "model.version"},
		{&pb.Model{Name: "m", MaxContextTokens: -1}, "model.max_context_tokens"},
		{&pb.Model{Name: "m", RolloutMinAvailable: 1.01}, "model.rollout_min_available"},
		{&pb.Model{Name: "m", Objective: &pb.Objective{LinkMebibyte: -0.1}}, "model.objective.link_mebibyte"},
		{&pb.Adapter{Name: "x", Model: "m"}, ""},
		{&pb.Adapter{Name: "x", Model: "none"}, "adapter.model"},
		{&pb.Adapter{Name: "x", Model: "m", Accounts: []string{"mill", "none"}}, "adapter.accounts[1]"},
		{engine("e2", "m"), ""},
		{engine("e2", "m", "none"), "endpoint.models[1]"},
		{engine("e2", "m", "m"), "endpoint.models[1]"},
		{with(func(e *pb.Endpoint) { e.Kind = 0 }), "endpoint.kind"},
		{with(func(e *pb.Endpoint) { e.Kind = 9 }), "endpoint.kind"},
		{with(func(e *pb.Endpoint) { e.Url = "http://host:80" }), "endpoint.url"},
		{with(func(e *pb.Endpoint) { e.Url = "ftp://10.0.0.1:80" }), "endpoint.url"},
		{with(func(e *pb.Endpoint) { e.Url = "http://10.0.0.1" }), "endpoint.url"},
		{with(func(e *pb.Endpoint) { e.Url = "http://10.0.0.1:80/v1" }), "endpoint.url"},
		{with(func(e *pb.Endpoint) { e.Url = "http://u@10.0.0.1:80" }), "endpoint.url"},
		{with(func(e *pb.Endpoint) { e.FailureDomain = "" }), "endpoint.failure_domain"},
		{with(func(e *pb.Endpoint) { e.LinkBytesPerSecond = -1 }), "endpoint.link_bytes_per_second"},
		{with(func(e *pb.Endpoint) { e.Service = "s" }), "endpoint.service"},
		{with(func(e *pb.Endpoint) { e.Idempotent = []string{"GET /"} }), "endpoint.idempotent"},
		{service("GET /batches", "PUT /"), ""},
		{service("GET /", "get /"), "endpoint.idempotent[1]"},
		{service("GET batches"), "endpoint.idempotent[0]"},
	} {
		err := CheckPut(seedView(), tc.value)
		if tc.field == "" {
			must.NoError(t, err, must.Sprint(tc.value))
			continue
		}
		must.True(t, result.Is(err, result.InvalidObject), must.Sprint(tc.value, err))
		must.Eq(t, tc.field, result.From(err).Field, must.Sprint(tc.value, err))
	}
}

func TestCheckDelete(t *testing.T) {
	for _, tc := range []struct {
		kind Kind
		name string
		code result.Code // 0 if the object may be deleted
	}{
		{KindAccount, "mill", result.StillReferenced},
		{KindVersion, "m@v1", result.StillReferenced},
		{KindVersion, "m@bad", 0},
		{KindModel, "m", result.StillReferenced},
		{KindAdapter, "ad", 0},
		{KindEndpoint, "e1", 0},
		{KindEndpoint, "none", result.UnknownObject},
		{"none", "none", result.UnknownObject},
	} {
		err := CheckDelete(seedView(), tc.kind, tc.name)
		must.Eq(t, tc.code != 0, err != nil, must.Sprint(tc, err))
		must.True(t, err == nil || result.Is(err, tc.code), must.Sprint(tc, err))
	}
}

func TestCodec(t *testing.T) {
	in := engine("e1", "m")
	raw, err := Encode(in)
	must.NoError(t, err)
	must.Eq(t, `{"name":"e1","kind":"ENDPOINT_KIND_ENGINE","url":"http://10.0.0.1:80","failure_domain":"north","models":["m"]}`, string(raw))
	out, err := Decode(KindEndpoint, raw)
	must.NoError(t, err)
	must.True(t, proto.Equal(in, out))

	newer := []byte(`{"name":"e1","not_yet_known":1}`)
	_, err = Decode(KindEndpoint, newer)
	must.NoError(t, err)
	_, err = Decode(KindEndpoint, raw[1:])
	must.Eq(t, "5003 invalid_object (endpoint): not valid JSON of this kind", err.Error())
	_, err = Decode("none", raw)
	must.True(t, result.Is(err, result.InvalidObject))
	_, err = Encode(engine("e1", slices.Repeat([]string{"a-long-name-of-a-model"}, maxValueBytes/20)...))
	must.True(t, result.Is(err, result.InvalidObject))
}

func FuzzDecode(f *testing.F) {
	f.Add("endpoint", []byte(`{"name":"e1","kind":"ENDPOINT_KIND_ENGINE"}`))
	f.Add("account", []byte(`{"name":"a","limits":{"requests_per_second":1e999}}`))
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		v, err := Decode(Kind(kind), raw)
		if err != nil || CheckPut(seedView(), v) != nil {
			return
		}
		again, err := Encode(v)
		must.NoError(t, err)
		back, err := Decode(Kind(kind), again)
		must.NoError(t, err)
		must.True(t, proto.Equal(v, back))
	})
}
