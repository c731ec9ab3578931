package routing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/routing"
)

func TestSoleService(t *testing.T) {
	for want, upstreams := range map[string][]routing.Upstream{
		"a": {{Service: "a", Weight: 3}, {Service: "b", Weight: 0}, {Service: "a", Weight: 1}},
		"b": {{Service: "a", Weight: 0}, {Service: "b", Weight: 1}},
		"":  {{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "b", Weight: 1}},
	} {
		test.Eq(t, want, (&routing.Route{Upstreams: upstreams}).SoleService(time.Unix(0, 0)))
	}
}

// TestMovedRoutesHaveNoSoleService checks that a route has no sole service for as long as other services may have begun
// streams of its paths, whichever route led there.
func TestMovedRoutesHaveNoSoleService(t *testing.T) {
	const keep = time.Minute
	version := func(services map[string]string) *routing.Config {
		c := &routing.Config{}
		for prefix, service := range services {
			c.Routes = append(c.Routes, routing.Route{Host: "h", Prefix: prefix, Upstreams: []routing.Upstream{{Service: service, Weight: 1}}})
		}
		return c.Index()
	}
	for name, tc := range map[string]struct {
		before, after map[string]string
		want          string // service of /a/b/c after the move
	}{
		"same":                       {map[string]string{"/a/": "a"}, map[string]string{"/a/": "a", "/i/": "b"}, "a"},
		"moved":                      {map[string]string{"/a/": "a"}, map[string]string{"/a/": "b"}, ""},
		"longer route added":         {map[string]string{"/a/": "a"}, map[string]string{"/a/": "a", "/a/b/": "b"}, ""},
		"longer route removed":       {map[string]string{"/a/": "a", "/a/b/": "b"}, map[string]string{"/a/": "a"}, ""},
		"longer route to the same":   {map[string]string{"/a/": "a"}, map[string]string{"/a/": "a", "/a/b/": "a"}, "a"},
		"other longer route removed": {map[string]string{"/a/": "a", "/a/b/": "b", "/a/i/": "a"}, map[string]string{"/a/": "a", "/a/b/": "b"}, "b"},
	} {
		moved := time.Unix(1000, 0)
		first, second, third := version(tc.before), version(tc.after), version(tc.after)
		second.InheritMoves(first, moved)
		third.InheritMoves(second, moved.Add(keep/2))
		for _, c := range []*routing.Config{second, third} {
			route := c.Match("h", "/a/b/c")
			test.Eq(t, tc.want, route.SoleService(moved.Add(-time.Second)), test.Sprint(name))
			test.NotEq(t, "", route.SoleService(moved), test.Sprint(name))
		}
	}
}
