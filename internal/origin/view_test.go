package origin

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestSoleRelease(t *testing.T) {
	const window, minute = 24 * time.Second, int64(60_000)
	view := func(observed, age int64, releases ...string) View {
		return View{Releases: releases, ObservedMS: observed, AgeMS: age}
	}
	first := func(v View) View {
		v.FirstStart = true
		return v
	}
	recorded := func(v View) View {
		v.Recorded = true
		return v
	}
	for _, c := range []struct {
		name     string
		views    []View
		complete bool
		want     string
	}{
		{"alone for long", []View{view(minute, 300, "v1")}, false, "v1"},
		{"two releases", []View{view(minute, 300, "v1", "v2")}, true, ""},
		{"another node saw a second release", []View{view(minute, 300, "v1"), view(minute, 300, "v2")}, true, ""},
		{"started a moment ago", []View{view(500, 300, "v1")}, true, ""},
		{"started a moment ago, another node long before", []View{view(500, 300, "v1"), view(minute, 300, "v1")}, false, "v1"},
		{"nodes of a new system", []View{first(view(500, 300, "v1")), first(view(700, 300, "v1"))}, false, "v1"},
		{"restarted node of a new system", []View{view(500, 300, "v1"), first(view(19_000, 300, "v1"))}, false, "v1"},
		{"the current view starts after the old one ends", []View{view(500, 300, "v1"), view(minute, 9000, "v1")}, true, ""},
		{"new node among restarted ones", []View{first(view(500, 300, "v1")), view(700, 300, "v1")}, true, ""},
		{"registry away", []View{view(minute, 9000, "v1")}, false, ""},
		{"registry away from all nodes", []View{view(minute, 9000, "v1"), view(minute, 9000, "v1")}, true, "v1"},
		{"registry away from this node only", []View{view(minute, 9000, "v1"), view(minute, 300, "v1")}, false, "v1"},
		{"started a moment ago, releases recorded", []View{recorded(view(500, 300, "v1"))}, false, "v1"},
		{"two releases recorded", []View{recorded(view(500, 300, "v1", "v2"))}, true, ""},
		{"registry away, releases recorded", []View{recorded(view(500, 9000, "v1"))}, false, ""},
		{"an endpoint states no release", []View{view(minute, 300, "", "v1")}, true, ""},
		{"no endpoint states a release", []View{view(minute, 300, "")}, true, ""},
		{"no endpoint known", []View{view(minute, 300)}, true, ""},
	} {
		release, ok := soleRelease(c.views[0], c.views[1:], window, c.complete)
		test.Eq(t, c.want, release, test.Sprint(c.name, ok))
		test.Eq(t, c.want != "", ok, test.Sprint(c.name))
	}
}
