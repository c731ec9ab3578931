package forward

import "time"

const (
	// minGiveUp is the shortest gap in an answer after which a caller abandons the request.
	minGiveUp = 2 * time.Second
	// giveUpObjectives and giveUpGaps are that gap as a multiple of the route's objective and of the
	// longest pause that counts as on time.
	giveUpObjectives = 4
	giveUpGaps       = 8
)

// GiveUpAfter returns the time after which the caller abandons a try without a first event, or a
// stream without a next event: the longest of 2 s, 4 objectives and 8 times the route's GapObjective.
func (q *Query) GiveUpAfter() time.Duration {
	return max(minGiveUp, giveUpObjectives*q.Route.Objective, giveUpGaps*q.Route.GapObjective)
}
