package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

const (
	// holdsMethod is the method name of the question for holds and endings. It may be repeated.
	holdsMethod = "node.holds"
	// askedNodes is the number of nodes that a node which starts asks, askTries how often it asks each that is silent,
	// and askTimeout how long it waits each time.
	askedNodes = 12
	askTries   = 3
	askTimeout = 150 * time.Millisecond
	// maxLearning is how long a node waits for the list of nodes and for answers until it counts the holds as known: most
	// requests are sound.
	maxLearning = 8 * time.Second
)

// holdsRequest is the question for what a node knows.
type holdsRequest struct{}

// holdsResponse is what a node knows. It fits into a datagram.
type holdsResponse struct {
	Holds   []toldHold `json:"holds,omitempty"`
	Endings []Ending   `json:"endings,omitempty"`
}

// toldHold is a hold of the node that answers.
type toldHold struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Endpoints   []string    `json:"endpoints"`
	LeftMS      int64       `json:"left_ms"` // milliseconds until it ends
	Recorded    bool        `json:"recorded,omitempty"`
	Part        bool        `json:"part,omitempty"`
}

// check returns an error if the hold is not valid.
func (h *toldHold) check() error {
	if h.Fingerprint == (Fingerprint{}) {
		return errNoFingerprint
	}
	if len(h.Endpoints) < holdThreshold || len(h.Endpoints) > maxReportEntries {
		return eris.Errorf("read told hold: invalid number of endpoints: %d", len(h.Endpoints))
	}
	if h.LeftMS <= 0 || h.LeftMS > maxHold.Milliseconds() {
		return eris.Errorf("read told hold: time left of %d ms is out of range", h.LeftMS)
	}
	if slices.ContainsFunc(h.Endpoints, func(e string) bool { return e == "" || len(e) > maxEndpointBytes }) {
		return eris.New("read told hold: endpoint identifier is empty or too long")
	}
	return nil
}

// HoldsKnown reports whether this node has read the records of holds and has asked other nodes for those without one.
// Some seconds after New it returns true anyway.
func (s *Service) HoldsKnown() bool {
	return s.learned.Load() || s.config.Now().Sub(s.created) > maxLearning
}

// learnHolds asks some nodes for their holds once the list of nodes was read.
func (s *Service) learnHolds(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.listed:
	}
	var asking sync.WaitGroup
	for _, peer := range s.nodesToAsk() {
		asking.Go(func() { s.askForHolds(ctx, peer) })
	}
	asking.Wait()
	s.learned.Store(true)
	s.wake()
}

// nodesToAsk returns the addresses of askedNodes other nodes, or of all if there are fewer. Each node asks others.
func (s *Service) nodesToAsk() (addrs []netip.AddrPort) {
	peers := s.config.Peers()
	for _, node := range rendezvous.TopOf(askedNodes+1, s.config.Node, s.config.Node, maps.Keys(peers)) {
		if node != s.config.Node && len(addrs) < askedNodes {
			addrs = append(addrs, peers[node])
		}
	}
	return addrs
}

// askForHolds asks a node until it answers or has been silent several times.
func (s *Service) askForHolds(ctx context.Context, peer netip.AddrPort) {
	for range askTries {
		var answer holdsResponse
		if s.callForHolds(ctx, peer, &answer) == nil {
			s.learn(&answer)
			return
		}
	}
}

func (s *Service) callForHolds(ctx context.Context, peer netip.AddrPort, answer *holdsResponse) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := s.config.Conn.Call(ctx, peer, holdsMethod, holdsRequest{}, answer)
	if err != nil {
		<-ctx.Done() // a busy node refuses at once
	}
	return err
}

// learn adds what another node knows. Invalid parts are left out.
func (s *Service) learn(answer *holdsResponse) {
	for i := range answer.Holds {
		h := &answer.Holds[i]
		if err := h.check(); err != nil {
			s.config.Log.Warn().Str("event", "told_hold_invalid").Err(err).Send()
			continue
		}
		s.learnHold(h)
	}
	for _, e := range answer.Endings {
		if r := (report{Endings: []Ending{e}}); r.check() == nil {
			s.applyEnding(e)
		}
	}
}

// learnHold adds a hold of another node.
func (s *Service) learnHold(told *toldHold) {
	now := s.config.Now()
	h := Hold{
		Fingerprint: told.Fingerprint, Endpoints: told.Endpoints, Since: now, Until: now.Add(time.Duration(told.LeftMS) * time.Millisecond),
		Recorded: told.Recorded, Part: told.Part,
	}
	if added := h; s.addHold(&added) { // which other goroutines may change from then on
		s.config.Log.Warn().Str("event", "hold_learned").Stringer("fingerprint", h.Fingerprint).Time("until", h.Until).Bool("recorded", h.Recorded).Send()
	}
}

// handleHolds answers a node that asks for holds.
func (s *Service) handleHolds(json.RawMessage) (any, error) {
	var answer holdsResponse
	holds, now := s.holdsToTell(), s.config.Now()
	size := 0
	for i := range holds {
		h := &holds[i]
		size += len(h.Endpoints)
		if size > maxEndings {
			return answer, nil
		}
		answer.Holds = append(answer.Holds, toldHold{h.Fingerprint, h.Endpoints, h.Until.Sub(now).Milliseconds(), h.Recorded, h.Part})
	}
	endings := s.Endings()
	answer.Endings = endings[max(len(endings)-(maxEndings-size), 0):]
	return answer, nil
}

// holdsToTell returns the current holds, those without a record first: a node that starts reads the others.
func (s *Service) holdsToTell() []Hold {
	now := s.config.Now()
	var recorded, unrecorded []Hold
	for _, h := range slices.Backward(s.Holds()) { // the latest first
		switch {
		case h.Until.Sub(now) < time.Millisecond:
		case h.Recorded:
			recorded = append(recorded, h)
		default:
			unrecorded = append(unrecorded, h)
		}
	}
	return append(unrecorded, recorded...)
}
