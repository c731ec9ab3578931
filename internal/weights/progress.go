package weights

import "time"

// progressInterval is the time between two log lines on the progress of the claim's holder.
const progressInterval = 5 * time.Second

// logProgress logs, at most each progressInterval, how many engines are outdated and what the holder of the claim
// does with them. It returns the time of the latest line.
func (s *Service) logProgress(last time.Time) time.Time {
	if s.Clock.Since(last) < progressInterval {
		return last
	}
	s.Log.Info().Str("event", "weights_progress").Int("outdated", s.countOutdated()).Int("jobs", len(s.jobs)).
		Int("loading", s.countLoading()).Int("postponed", len(s.postponed)).Int("unknown", s.countUnknown()).Send()
	return s.Clock.Now()
}

// countOutdated returns the number of engines with an older version, counted once for each model.
func (s *Service) countOutdated() int {
	n := 0
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		n += len(Outdated(members, model, version))
	}
	return n
}

// countUnknown returns the number of engines that are known not to have the version of their entries, but not which
// one they have.
func (s *Service) countUnknown() int {
	n := 0
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		for _, m := range members {
			if m.VersionOf(model) == 0 && knownVersion(m, model) > 0 {
				n++
			}
		}
	}
	return n
}
