package quarantine

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// assessors is the number of nodes that are told of the endings under a request: all of a small
	// system, which then need no store to agree.
	assessors = 12
	// tellPause is the time between two messages with the same news, and tellFor how long these are
	// told: one of them may be lost.
	tellPause = 250 * time.Millisecond
	tellFor   = 700 * time.Millisecond
	// maxTold bounds what is told at once: the runs that a node loses when several endpoints end.
	maxTold = 256
	// recordPause is what each assessor leaves to the one before it to record a held request, and the
	// time between two tries.
	recordPause   = 500 * time.Millisecond
	recordTimeout = time.Second
	// forgetPause is the time between two looks for records to be removed.
	forgetPause = time.Minute
)

// Conn carries notifications between nodes. Nothing is repeated.
type Conn interface {
	// Handle has a method served. It is called before messages come.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer, and returns the bytes of all.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
}

// Topic is where held requests are recorded. Without a value a key is removed.
type Topic interface {
	Put(ctx context.Context, key string, value []byte) error
}

// Config is what a Service needs. All fields must be set.
type Config struct {
	Node string
	Conn Conn
	// Peers returns the addresses of the other nodes by their names.
	Peers func() map[string]netip.AddrPort
	Topic Topic
	Now   func() time.Time
	Log   zerolog.Logger
}

// Service shares a node's table with the other nodes.
type Service struct {
	*Table
	config Config
	kick   chan struct{}

	mu   sync.Mutex
	told []telling
	gone []Fingerprint // their records are to be removed

	// The rest is used by Run alone.
	tried    time.Time                 // when a record could not be written last
	recorded []Hold                    // that all nodes are to be told of once more
	peers    map[string]netip.AddrPort // that were told last
}

// telling is an ending, told again and again for some time. Without an endpoint it tells that the
// request was run to a good end.
type telling struct {
	Ending
	since time.Time
}

// New returns a service that hears its peers at a connection that doesn't run yet.
func New(c Config) *Service {
	s := &Service{Table: NewTable(c.Now), config: c, kick: make(chan struct{}, 1)}
	c.Conn.Handle(method, s.take)
	return s
}

// Note notes an ending that this node saw, and tells its peers.
func (s *Service) Note(e Ending) (held bool) {
	held = s.note(e)
	s.tell(telling{Ending: e})
	return held
}

// Clear forgets a request that an endpoint ran to a good end for this node, and tells its peers if
// anything was known of it.
func (s *Service) Clear(f Fingerprint) (known bool) {
	known, recorded := s.remove(f)
	if !known {
		return false
	}
	if recorded {
		s.mu.Lock()
		s.gone = append(s.gone, f)
		s.mu.Unlock()
	}
	s.tell(telling{Ending: Ending{Fingerprint: f}})
	return true
}

func (s *Service) note(e Ending) (held bool) {
	held = s.Table.Note(e)
	if held {
		s.config.Log.Warn().Str("event", "request_held").Stringer("fingerprint", e.Fingerprint).
			Str("endpoint", e.Endpoint).Time("until", s.HeldUntil(e.Fingerprint)).Send()
		s.wake()
	}
	return held
}

func (s *Service) tell(t telling) {
	t.since = s.config.Now()
	s.mu.Lock()
	s.told = append(s.told, t)
	if excess := len(s.told) - maxTold; excess > 0 {
		s.told = slices.Delete(s.told, 0, excess)
	}
	s.mu.Unlock()
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// take notes what a peer tells.
func (s *Service) take(params json.RawMessage) (any, error) {
	n, err := decodeNews(params)
	if err != nil {
		return nil, err
	}
	for _, e := range n.Endings {
		s.note(e)
		if n.Recorded {
			s.Recorded(e.Fingerprint)
		}
	}
	for _, f := range n.Served {
		s.Table.Clear(f)
	}
	return nil, nil
}

// Apply takes a record of the topic whose key is that of a held request. An error means that it
// can't be read.
func (s *Service) Apply(r *follow.Record) error {
	if r.Value == nil {
		if f, err := ParseFingerprint(r.Key[len(keyPrefix):]); err == nil {
			s.Table.Clear(f)
		}
		return nil
	}
	h, err := decodeHold(r, s.config.Now())
	if err != nil {
		return err
	}
	s.Take(h)
	return nil
}

// Run tells peers and records what is held, until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	forget := time.NewTicker(forgetPause)
	defer forget.Stop()
	for {
		var again <-chan time.Time
		if s.step(ctx) {
			again = time.After(tellPause)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		case <-again:
		case <-forget.C:
			s.forget(ctx)
		}
	}
}

// PeersChanged has nodes that came be told what they are to know.
func (s *Service) PeersChanged() {
	if !s.Empty() {
		s.wake()
	}
}

// step tells and records once, and reports whether there is more to do soon.
func (s *Service) step(ctx context.Context) (more bool) {
	s.spreadAgain()
	told := s.due()
	if len(told) == 0 && s.Empty() {
		return s.removeRecords(ctx)
	}
	peers := s.config.Peers()
	telling := s.sendNews(told, peers)
	recording := s.recordHolds(ctx, peers)
	removing := s.removeRecords(ctx)
	return telling || recording || removing || len(s.recorded) > 0
}
