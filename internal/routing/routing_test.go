package routing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/routing"
)

func config() *routing.Config {
	route := func(name, host, prefix string) routing.Route {
		return routing.Route{Name: name, Host: host, Prefix: prefix, Upstreams: []routing.Upstream{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	}
	c := &routing.Config{
		Routes:   []routing.Route{route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/")},
		Services: []routing.Service{{Name: "a"}, {Name: "b"}},
		Accounts: []routing.Account{{Name: "yard", Keys: []string{"k1", "k2"}}},
	}
	return c.Index()
}

func TestMatch(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"h", "/a/", "short"},
		{"h", "/a/x", "short"},
		{"h", "/a/b", "short"},
		{"h", "/a/b/", "long"},
		{"H:8080", "/a/b/c", "long"},
		{"i", "/a/b/c", "other"},
		{"h", "/a", ""},
		{"j", "/a/", ""},
	}
	for _, tc := range tests {
		got := ""
		if r := config().Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		test.Eq(t, tc.want, got, test.Sprint(tc.host, tc.path))
	}
}

func TestLookups(t *testing.T) {
	c := config()
	must.NotNil(t, c.AccountOf("k2"))
	test.Eq(t, "yard", c.AccountOf("k2").Name)
	test.Nil(t, c.AccountOf(""))
	test.NotNil(t, c.Service("b"))
	test.Nil(t, c.Service("c"))
}

func TestChoose(t *testing.T) {
	r := config().Match("h", "/a/")
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999999: "b"} {
		test.Eq(t, want, r.Choose(draw))
	}
}

// TestResidency checks that the stricter policy applies where both the route and the account have
// one, and that the policies of a configuration are those of all such pairs.
func TestResidency(t *testing.T) {
	both, south := residency.Confine("north", "south"), residency.Confine("south")
	free, confined := routing.Route{Name: "free"}, routing.Route{Name: "confined", Residency: both}
	account := routing.Account{Residency: south}
	test.Eq(t, residency.Policy{}, routing.Residency(&free, nil))
	test.Eq(t, both, routing.Residency(&confined, &routing.Account{}))
	test.Eq(t, south, routing.Residency(&free, &account))
	test.Eq(t, south, routing.Residency(&confined, &account))
	c := routing.Config{Routes: []routing.Route{free, confined}, Accounts: []routing.Account{account, {}}}
	test.SliceContainsAll(t, []residency.Policy{both, south}, c.Residencies())
	test.SliceEmpty(t, (&routing.Config{Routes: []routing.Route{free}}).Residencies())
}

// TestGapObjectiveOfServices guards against a service whose engines are judged by the pauses of routes
// that don't use it, or by the largest of several, and against observation that the configuration
// doesn't call for.
func TestGapObjectiveOfServices(t *testing.T) {
	route := func(gap time.Duration, services ...string) routing.Route {
		r := routing.Route{GapObjective: gap}
		for _, s := range services {
			r.Upstreams = append(r.Upstreams, routing.Upstream{Service: s, Weight: 1})
		}
		return r
	}
	engine := &routing.Engine{Stride: 8}
	c := &routing.Config{
		Routes:   []routing.Route{route(500*time.Millisecond, "a", "b", "gone"), route(300*time.Millisecond, "b"), route(0, "a", "c"), route(time.Second, "b", "d", "e")},
		Services: []routing.Service{{Name: "a", Engine: engine}, {Name: "b", Engine: engine}, {Name: "c", Engine: engine}, {Name: "d", Engine: &routing.Engine{}}, {Name: "e"}},
	}
	c.Index()
	for name, want := range map[string]struct {
		gap      time.Duration
		observed bool
	}{"a": {500 * time.Millisecond, true}, "b": {300 * time.Millisecond, true}, "c": {0, false}, "d": {time.Second, false}, "e": {time.Second, false}} {
		test.Eq(t, want.gap, c.Service(name).GapObjective, test.Sprint(name))
		test.Eq(t, want.observed, c.Service(name).ObservesPace(), test.Sprint(name))
	}
}
