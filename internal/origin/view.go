package origin

import (
	"slices"
	"time"
)

// MaxViewAge is the age up to which a node's view of the registry counts as current.
const MaxViewAge = 3 * time.Second

// View is what a node knows of the releases of one service.
type View struct {
	// Releases are the releases of which the node has seen an endpoint within the retention, at most
	// maxViewReleases. The node can have sent requests to endpoints of these releases only.
	Releases []string `json:"releases,omitempty"`
	// ObservedMS is the time for which the node has followed the registry without a gap.
	ObservedMS int64 `json:"observed_ms"`
	// Recorded is true if Releases has those which served before, from the records in the platform's store.
	Recorded bool `json:"recorded,omitempty"`
	// FirstStart is true if the node was not listed before it started, so that nothing ran there before, and
	// has followed the registry without a gap since.
	FirstStart bool `json:"first_start,omitempty"`
	// AgeMS is the age of the node's copy of the registry.
	AgeMS int64 `json:"age_ms"`
}

// maxViewReleases bounds the releases of a View. More than one are as good as any number.
const maxViewReleases = 4

// isCurrent reports whether no endpoint of a new release can have been known to other nodes for long when the
// view did not have it.
func (v *View) isCurrent() bool { return v.AgeMS <= MaxViewAge.Milliseconds() }

// goesBack reports whether the view has all releases that can have begun streams in the last window. newSystem
// is true if no node ran before those that started for the first time.
func (v *View) goesBack(window time.Duration, newSystem bool) bool {
	return v.ObservedMS >= window.Milliseconds() || v.Recorded || v.FirstStart && newSystem
}

// soleRelease returns the release that alone can have begun any stream within the last window, by the view of
// this node and those of others. complete is true if the views of all nodes are there.
//
// A stream can be begun at a release only by a node that knows an endpoint of it. All such releases are in the
// views if one of these is current and goes back far enough, or if all nodes' views are there and each goes
// back far enough. The records in the platform's store make a view go back. In a system in which the other nodes
// have started for the first time, none need go back further than their start. An endpoint that states no
// release may be of any.
func soleRelease(own View, others []View, window time.Duration, complete bool) (release string, ok bool) {
	started := others
	if len(others) == 0 {
		started = []View{own}
	}
	newSystem := !slices.ContainsFunc(started, func(v View) bool { return !v.FirstStart })
	certain, allGoBack := false, true
	for _, v := range append([]View{own}, others...) {
		for _, r := range v.Releases {
			if r == "" || release != "" && r != release {
				return "", false
			}
			release = r
		}
		goesBack := v.goesBack(window, newSystem)
		certain = certain || goesBack && v.isCurrent()
		allGoBack = allGoBack && goesBack
	}
	if release == "" || !certain && !(complete && allGoBack) {
		return "", false
	}
	return release, true
}
