package origin

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// maxFinds bounds the questions that a node asks the others at the same time. Callers may name requests that
// never were.
const maxFinds = 256

// Source states how the origin of a stream was found.
type Source int

const (
	// NotFound means that the origin is not known.
	NotFound Source = iota
	// OwnRecord means that this node had a record.
	OwnRecord
	// PeerRecord means that another node had a record.
	PeerRecord
	// SoleRelease means that there was no record, but a single release can have begun the stream.
	SoleRelease
)

// String implements fmt.Stringer.
func (s Source) String() string {
	return [...]string{NotFound: "unknown", OwnRecord: "own", PeerRecord: "peer", SoleRelease: "sole"}[s]
}

// Result is the outcome of Find.
type Result struct {
	Origin // empty if Source is NotFound
	Source Source
	// Asked is the number of other nodes that were asked, and Answered that of those that answered in time.
	Asked, Answered int
	// Settled is true if the list of the nodes to ask counts as complete.
	Settled bool
	Took    time.Duration
}

// Find returns the origin of the stream that the request with the given key began. A zero key stands for a
// request that the caller did not name. service is the one that would serve the stream now. Find asks other
// nodes unless this one has a record, and takes callTimeout for each call at most.
func (s *Service) Find(ctx context.Context, k Key, service string) Result {
	began := s.config.Now()
	r := s.find(ctx, k, service)
	r.Took = s.config.Now().Sub(began)
	return r
}

func (s *Service) find(ctx context.Context, k Key, service string) Result {
	if o, ok := s.table.Find(k); ok {
		return Result{Origin: o, Source: OwnRecord}
	}
	own := s.config.View(service)
	homesOf := k
	if k == (Key{}) {
		release, sole := soleRelease(own, nil, s.config.Retention(), false)
		s.logSole(service, own, nil, sole)
		if sole {
			return Result{Origin: Origin{service, release}, Source: SoleRelease}
		}
		homesOf = randomKey()
	}
	s.mu.Lock()
	homes, peers, settled := s.homes, len(s.peers), s.isSettled()
	s.mu.Unlock()
	asked := homes.of(homesOf, askedHomes)
	result := Result{Asked: len(asked), Settled: settled}
	if s.finding.Add(1) > maxFinds {
		asked = nil
	}
	defer s.finding.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var views []View
	for answer := range s.ask(ctx, asked, findRequest{k, service}) {
		result.Answered++
		if answer.Origin != nil && answer.Origin.valid() {
			result.Origin, result.Source = *answer.Origin, PeerRecord
			return result
		}
		views = append(views, answer.View)
	}
	release, sole := soleRelease(own, views, s.config.Retention(), result.Answered == peers)
	s.logSole(service, own, views, sole)
	if sole {
		result.Origin, result.Source = Origin{service, release}, SoleRelease
	}
	return result
}

// logSole logs on what it was decided whether a single release can have begun a stream.
func (s *Service) logSole(service string, own View, others []View, sole bool) {
	s.config.Log.Info().Str("event", "sole_release").Str("service", service).Bool("sole", sole).Strs("releases", own.Releases).
		Int64("view_age_ms", own.AgeMS).Int64("observed_ms", own.ObservedMS).Bool("recorded", own.Recorded).
		Bool("first_start", own.FirstStart).Interface("others", others).Send()
}

// randomKey returns a key that spreads questions without a key over the nodes of a large system.
func randomKey() (k Key) {
	binary.BigEndian.PutUint64(k[:], rand.Uint64())
	return k
}

// ask asks nodes at the same time. The channel yields the answers as they arrive and is closed when all
// nodes have answered or their time is over.
func (s *Service) ask(ctx context.Context, nodes []netip.AddrPort, q findRequest) <-chan findResponse {
	answers := make(chan findResponse, len(nodes))
	var asking sync.WaitGroup
	for _, node := range nodes {
		asking.Go(func() {
			for i := 0; i < calls && ctx.Err() == nil && !s.askOnce(ctx, node, q, answers); i++ {
			}
		})
	}
	go func() {
		asking.Wait()
		close(answers)
	}()
	return answers
}

// askOnce asks a node once, and reports whether it has answered.
func (s *Service) askOnce(ctx context.Context, node netip.AddrPort, q findRequest, answers chan<- findResponse) bool {
	var answer findResponse
	if err := s.call(ctx, node, findMethod, q, &answer); err != nil {
		return false // silent, or of a build that doesn't know the method
	}
	answers <- answer
	return true
}
