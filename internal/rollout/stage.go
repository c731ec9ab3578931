package rollout

import (
	"slices"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
)

// Stage is the stage of a model's rollout.
type Stage uint8

// The stages.
const (
	Gathering Stage = iota // reports are still being collected
	Settled                // every engine that answers holds or loads the requested version, or none is requested
	Loading                // no engine serves another version: all load the requested one
	Canary                 // one engine loads the version, and its first runs are monitored
	Spreading              // the version is accepted, or several engines hold or load it: the others follow
	Failed                 // the first runs failed; no further engine loads the version
)

var stageNames = [...]string{"gathering", "settled", "loading", "canary", "spreading", "failed"}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

const (
	// acceptRuns is the number of runs that a new version must complete before other engines load it.
	acceptRuns = 5
	// A version fails after failRuns failed runs, if they are at least failShare of all runs.
	failRuns  = 3
	failShare = 0.25
	// idleAcceptTime is the time after which a loaded version without failed runs is accepted even if
	// no caller has used it.
	idleAcceptTime = 30 * time.Second
	// maxTurns is the number of engines that have a turn at the same time: enough to keep the load
	// slots in use, and few enough to limit claim records appended for unsuccessful attempts.
	maxTurns = MaxLoads + 1
)

// modelEngines holds the engines of one model, sorted by failure domain and name.
type modelEngines struct {
	model   *pb.Model
	target  Target
	size    int // number of engines configured
	engines []Report
}

// holding returns the engine's holding of a version, or false if it has none.
func (r Report) holding(version string) (Holding, bool) {
	i := slices.IndexFunc(r.Holdings, func(h Holding) bool { return h.Version == version })
	if i < 0 {
		return Holding{}, false
	}
	return r.Holdings[i], true
}

// serving reports whether the engine accepts new runs on any eligible version.
func (f modelEngines) serving(r Report) bool {
	return !r.Down && slices.ContainsFunc(r.Holdings, func(h Holding) bool {
		return !h.Loading && slices.Contains(f.target.Eligible, h.Version)
	})
}

// stage determines the stage of the rollout. A rollout can fail only while at most half of the engines
// hold or load the requested version. It is a pure function.
func (f modelEngines) stage() Stage {
	var with, without, servingOther int
	var sum Holding
	accepted := false
	for _, r := range f.engines {
		h, ok := r.holding(f.target.Version)
		switch {
		case ok:
			with++
			sum.Completed += h.Completed
			sum.Failed += h.Failed
			accepted = accepted || !h.Loading && h.Age >= idleAcceptTime && h.Failed == 0
		case !r.Down:
			without++
		}
		if !ok && f.serving(r) {
			servingOther++
		}
	}
	switch {
	case f.target.Version == "" || without == 0:
		return Settled
	case servingOther == 0:
		return Loading
	case hasFailed(sum) && 2*with <= f.size:
		return Failed
	case with > 1 || accepted || sum.Completed >= acceptRuns:
		return Spreading
	}
	return Canary
}

func hasFailed(h Holding) bool {
	return h.Failed >= failRuns && float64(h.Failed) >= failShare*float64(h.Failed+h.Completed)
}

// turns returns the engines that may load the requested version now: first those that serve nothing,
// then one failure domain after the other.
func (f modelEngines) turns() []string {
	var idle, busy []string
	with, serving := 0, 0
	for _, r := range f.engines {
		if f.serving(r) {
			serving++
		}
		if _, ok := r.holding(f.target.Version); ok {
			with++
			continue
		}
		switch {
		case r.Down:
		case f.serving(r):
			busy = append(busy, r.Engine)
		default:
			idle = append(idle, r.Engine)
		}
	}
	maxTakenOut := max(serving-minAvailable(f.model, f.size), 0)
	turns := append(idle, busy[:min(len(busy), maxTakenOut)]...)
	switch f.stage() {
	case Loading, Spreading:
		return turns[:min(len(turns), maxTurns)]
	case Canary:
		return turns[:min(len(turns), max(1-with, 0))]
	}
	return nil
}

// holders returns the versions that serve new runs. A failed version is left out: the stage is Failed
// only while another version serves.
func (f modelEngines) holders() []Holders {
	failed := f.stage() == Failed
	var out []Holders
	for _, version := range f.target.Eligible {
		if failed && version == f.target.Version {
			continue
		}
		h := Holders{Version: version}
		for _, r := range f.engines {
			held, ok := r.holding(version)
			if !ok || held.Loading || r.Down {
				continue
			}
			h.Count++
			if len(h.Engines) < maxHolders {
				h.Engines = append(h.Engines, r.Engine)
			}
		}
		if h.Count > 0 {
			out = append(out, h)
		}
	}
	return out
}

// previous returns the version, other than the requested one, that most engines hold, or false if there
// is none.
func (f modelEngines) previous() (string, bool) {
	best := Holders{}
	for _, h := range f.holders() {
		if h.Version != f.target.Version && h.Count > best.Count {
			best = h
		}
	}
	return best.Version, best.Count > 0
}
