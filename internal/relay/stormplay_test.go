package relay

import "time"

// storm is a series of changes while the store rejects the calls of some nodes. Times are counted from the
// first change.
type storm struct {
	changes      int
	interval     time.Duration
	rejectedFrom time.Duration
	rejectedFor  time.Duration
	rejected     func(n *simNode) bool
}

// stormResult is the worst that was seen during a storm and for some time after it.
type stormResult struct {
	age  time.Duration // of a configuration, at a node that the store serves
	late time.Duration // from a change until it was in force at all nodes that the store serves
	// rejectedLate is the time from a change until it was in force at all nodes.
	rejectedLate time.Duration
	wentBack     bool // the proof of a copy's age went back
}

// play carries out a storm and observes the nodes until the given time after its first change.
func (s *system) play(storm *storm, until time.Duration) (result stormResult) {
	began := time.Now()
	var writtenAt []time.Time
	sinceFirst := func(version int64) time.Duration {
		if int(version) >= len(writtenAt) {
			return 0
		}
		return time.Since(writtenAt[version])
	}
	for time.Since(began) < until {
		elapsed := time.Since(began)
		if len(writtenAt) < storm.changes && elapsed >= time.Duration(len(writtenAt))*storm.interval {
			writtenAt = append(writtenAt, time.Now())
			s.store.write(configValue(len(writtenAt)))
		}
		rejects := elapsed >= storm.rejectedFrom && elapsed < storm.rejectedFrom+storm.rejectedFor
		for _, n := range s.nodes {
			n.store.setRejected(rejects && storm.rejected(n))
			age, version := n.state()
			result.rejectedLate = max(result.rejectedLate, sinceFirst(version))
			if !storm.rejected(n) {
				result.age, result.late = max(result.age, age), max(result.late, sinceFirst(version))
			}
			result.wentBack = result.wentBack || n.hasGoneBack()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result
}

const (
	// staleLimit is the age of a configuration from which on a node refuses all requests.
	staleLimit = simRevoke - 300*time.Millisecond
	// applyLimit is the time within which a change must be in force.
	applyLimit = 5 * time.Second
)
