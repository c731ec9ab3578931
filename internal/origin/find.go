package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxFinds bounds the questions that a node asks the others at the same time. Callers may name requests that
// never were.
const maxFinds = 256

// errTooManyFinds is returned while maxFinds questions are open.
var errTooManyFinds = eris.New("too many streams are looked for")

// Source states how the origin of a stream was found.
type Source int

const (
	// NotFound means that the origin is not known.
	NotFound Source = iota
	// OwnRecord means that this node had a record.
	OwnRecord
	// PeerRecord means that another node had a record.
	PeerRecord
	// LoggedRecord means that no node had a record, but the platform's store.
	LoggedRecord
	// SoleRelease means that there was no record, but a single release can have begun the stream.
	SoleRelease
)

// String implements fmt.Stringer.
func (s Source) String() string {
	return [...]string{NotFound: "unknown", OwnRecord: "own", PeerRecord: "peer", LoggedRecord: "store", SoleRelease: "sole"}[s]
}

// Result is the outcome of Find.
type Result struct {
	Origin // empty if Source is NotFound
	Source Source
	// Asked is the number of other nodes that were asked, and Answered that of those that answered in time.
	Asked, Answered int
	// Settled is true if the list of the nodes to ask counts as complete.
	Settled bool
	// Err is why it isn't known whether a single release can have begun the stream; nil if it is, or if that
	// doesn't matter.
	Err  error
	Took time.Duration
}

// IsFinal reports whether no other node knows more about a stream that was not found.
func (r *Result) IsFinal() bool { return r.Answered == r.Asked && r.Settled && r.Err == nil }

// Find returns the origin of the stream that the request with the given key began. A zero key stands for a
// request that the caller did not name. service is the one that must have begun the stream; empty if several can
// have. Find asks other nodes unless this one has a record, and takes callTimeout for each call at most. It reads
// the platform's store if none has a record.
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
	defer s.finding.Add(-1)
	if s.finding.Add(1) > maxFinds {
		return Result{Err: errTooManyFinds}
	}
	result := s.askHomes(ctx, k)
	if result.Source != NotFound {
		return result
	}
	release, err := s.soleRelease(ctx, service)
	switch {
	case release != "":
		result.Origin, result.Source = Origin{service, release}, SoleRelease
	case err == nil && k != (Key{}):
		err = s.findLogged(ctx, k, &result)
	}
	result.Err = err
	return result
}

// soleRelease returns the release that alone can have begun a stream. There is none if several services can have.
func (s *Service) soleRelease(ctx context.Context, service string) (release string, err error) {
	if service == "" {
		return "", nil
	}
	return s.config.Sole(ctx, service)
}

// findLogged sets the result to a stream's record in the platform's store, if there is one.
func (s *Service) findLogged(ctx context.Context, k Key, result *Result) error {
	if err := s.config.Streams.load(ctx); err != nil {
		return err
	}
	if o, found := s.table.Find(k); found {
		result.Origin, result.Source = o, LoggedRecord
	}
	return nil
}

// askHomes asks the homes of a stream for its record. No node has one of a request that was not named.
func (s *Service) askHomes(ctx context.Context, k Key) Result {
	if k == (Key{}) {
		return Result{Settled: true}
	}
	s.mu.Lock()
	homes, settled := s.homes, s.isSettled()
	s.mu.Unlock()
	asked := homes.of(k, askedHomes)
	result := Result{Asked: len(asked), Settled: settled}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for answer := range s.ask(ctx, asked, findRequest{k}) {
		result.Answered++
		if answer.Origin != nil && answer.Origin.valid() {
			result.Origin, result.Source = *answer.Origin, PeerRecord
			return result
		}
	}
	return result
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
