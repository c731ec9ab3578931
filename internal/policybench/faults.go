package policybench

import (
	"maps"
	"slices"
)

// inject starts a fault.
func (s *system) inject(f Fault) {
	switch f {
	case EngineDies:
		s.engines[len(s.engines)-1].crash()
	case StoreDies:
		s.stores[0].crash()
	case SlowLinks:
		for _, st := range s.stores {
			st.link.scaleRate(slowLinkShare)
		}
	case OwnerPaused:
		s.pauseOwners()
	case NoFault, Overload:
	}
}

// pauseOwners pauses the owners of an old and a new engine for pauseLength, and schedules the next
// pause. Jobs that wait at a paused owner are placed again after detectionDelay.
func (s *system) pauseOwners() {
	for _, o := range []*owner{s.owners[0][0], s.owners[0][len(s.engines)-1]} {
		o.paused = s.at + pauseLength
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			if j := s.jobs[id]; j.owner == o {
				s.after(detectionDelay, func() { o.abandon(j) })
			}
		}
	}
	s.after(pauseEvery, s.pauseOwners)
}

// abandon cancels a job that waits at a paused owner and places it again.
func (o *owner) abandon(j *job) {
	if j.owner != o || o.s.at >= o.paused {
		return
	}
	run := j.id
	o.removeJob(run)
	o.runUnpaused(func() { o.state.Cancel(run) })
	o.s.send(j)
}
