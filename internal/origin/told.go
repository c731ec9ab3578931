package origin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

const (
	// releasesMethod is the call that asks a node which releases have a record by which streams may begin. It may be
	// repeated.
	releasesMethod = "node.recorded_releases"
	// toldBy is the number of nodes that are asked.
	toldBy = 3
)

// releasesRequest is the parameter of releasesMethod.
type releasesRequest struct{}

// releasesResponse is the result of releasesMethod.
type releasesResponse struct {
	// Active are the releases at which streams may begin, the latest recorded ones first, at most maxMessageRecords.
	Active []Origin `json:"active"`
	// AgeMS is the age of the copy of the records at the node that answers, and Next the position in the topic up to
	// which it has all of them.
	AgeMS int64 `json:"age_ms"`
	Next  int64 `json:"next"`
}

// toldRelease is a release at which streams may begin by the copy of another node.
type toldRelease struct {
	confirmedAt time.Time // when that copy was certainly current
	next        int64     // the position in the topic up to which it had all records
}

// handleReleases answers a node that can't read the records.
func (s *Service) handleReleases(json.RawMessage) (any, error) {
	active, copied := s.config.Releases.activeReleases()
	active = active[:min(len(active), maxMessageRecords)]
	return releasesResponse{active, s.config.Now().Sub(copied.confirmedAt).Milliseconds(), copied.next}, nil
}

// LearnReleases asks a few nodes which releases have a record by which streams may begin. It serves a node that can't
// reach the platform's store, while others can.
func (s *Service) LearnReleases(ctx context.Context) {
	for _, p := range s.nextToAsk() {
		var answer releasesResponse
		sentAt := s.config.Now()
		if err := s.call(ctx, p.Addr, releasesMethod, releasesRequest{}, &answer); err != nil || answer.AgeMS < 0 {
			continue // silent, or of a build that doesn't know the method
		}
		s.config.Releases.learn(answer.Active, toldRelease{sentAt.Add(-time.Duration(answer.AgeMS) * time.Millisecond), answer.Next})
	}
}

// nextToAsk returns the next toldBy of the other nodes in turn, as some of them may not reach the store either. Each node
// begins after its own name, so that no node is asked by all.
func (s *Service) nextToAsk() (next []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, _ := slices.BinarySearchFunc(s.peers, s.config.Self.Name, func(p Peer, name string) int { return strings.Compare(p.Name, name) })
	for range min(len(s.peers), toldBy) {
		next = append(next, s.peers[(own+s.asked)%len(s.peers)])
		s.asked++
	}
	return next
}

// activeReleases returns the releases at which streams may begin by their records, the latest recorded ones first, and how
// far the copy goes.
func (r *Releases) activeReleases() (list []Origin, copied toldRelease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o, record := range r.stored {
		if !record.Retired {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Origin) int { return cmp.Compare(r.stored[b].position, r.stored[a].position) })
	return list, toldRelease{r.confirmedAt, r.next}
}

// learn adds releases at which streams may begin by another node's copy. A copy that goes as far as this one has the same
// records, and so tells that this one was current later.
func (r *Releases) learn(active []Origin, copied toldRelease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && copied.next == r.next && copied.confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = copied.confirmedAt
	}
	for _, o := range active {
		if copied.next > r.next && !copied.isBefore(r.told[o]) {
			r.told[o] = copied
		}
	}
}

// isBefore reports whether a copy goes less far than another one, or was confirmed earlier at the same position.
func (t toldRelease) isBefore(other toldRelease) bool {
	return t.next < other.next || t.next == other.next && t.confirmedAt.Before(other.confirmedAt)
}

// activeAt returns the latest time at which streams could begin at a release by its record, as far as this node knows. ok
// is false if they may not. What another node told counts while its copy goes further than the own one.
func (r *Releases) activeAt(o Origin) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told, known := r.told[o]; known {
		return told.confirmedAt, true
	}
	record, found := r.stored[o]
	return r.confirmedAt, found && !record.Retired
}
