package quarantine

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// coordinators is the number of nodes that the endings of a request are reported to. In a small
	// system these are all nodes, which then agree on holds without the store.
	coordinators = 12
	// resendInterval is the time between two sends of the same report, and resendFor how long it is
	// repeated, because messages may be lost.
	resendInterval = 250 * time.Millisecond
	resendFor      = 700 * time.Millisecond
	// maxOutgoing limits the reports that are sent repeatedly at one time. It is enough for the
	// runs that a node loses when several endpoints end at once, with some ten parts each.
	maxOutgoing = 1024
	// recordInterval is the delay of each coordinator after the previous one in recording a hold, and
	// the time between two attempts.
	recordInterval = 500 * time.Millisecond
	recordTimeout  = time.Second
	// cleanupInterval is the time between two removals of expired holds.
	cleanupInterval = time.Minute
)

// Conn carries messages between nodes. It does not retransmit them.
type Conn interface {
	// Handle registers the handler of a method. It must be called before messages arrive.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer, and returns the total number of bytes sent.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
	// Call calls a method of a peer and decodes the response into result. Without a response it fails when ctx ends.
	Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error
}

// Topic stores the records of held requests.
type Topic interface {
	// Put writes the newest record of a key. A nil value removes the key.
	Put(ctx context.Context, key string, value []byte) error
	// PutIf is Put on condition that the topic still ends at the given offset; otherwise it fails with
	// follow.ErrChanged.
	PutIf(ctx context.Context, key string, value []byte, end int64) error
}

// Config holds the dependencies of a Service. All fields must be set.
type Config struct {
	Node string
	Conn Conn
	// Peers returns the addresses of the other nodes by node name.
	Peers func() map[string]netip.AddrPort
	Topic Topic
	// TopicEnd returns the offset up to which this node has read the topic and called Apply.
	TopicEnd func() int64
	Now      func() time.Time
	Log      zerolog.Logger
}

// Service shares a node's Table with the other nodes.
type Service struct {
	*Table
	config Config
	wakeup chan struct{}
	// listed is closed once the list of nodes was read.
	listed     chan struct{}
	listedOnce sync.Once
	created    time.Time
	learned    atomic.Bool  // other nodes were asked for holds
	restores   atomic.Int64 // how often the topic came back from an older copy

	mu         sync.Mutex
	outgoing   []outgoingReport
	removals   []removal
	recordFrom time.Time // time before which no holds are recorded

	// The fields below are used only by Run.
	lastFailure   time.Time                 // time of the last failed attempt to write a record
	toRebroadcast []Hold                    // recorded holds to be broadcast a second time
	lastPeers     map[string]netip.AddrPort // peers at the last send
	toldAt        map[Fingerprint]time.Time // when holds without a record were told again
}

// outgoingReport is an ending that is sent repeatedly for some time. If it has no endpoint, it reports
// that the request completed successfully.
type outgoingReport struct {
	Ending
	since time.Time
}

// coordinatorKey selects the nodes that receive the report. Those of an account's parts are the same, so that they
// can compare these.
func (o *outgoingReport) coordinatorKey() Fingerprint {
	if o.Account != (Fingerprint{}) {
		return o.Account
	}
	return o.Fingerprint
}

// New returns a service that receives reports once c.Conn runs.
func New(c Config) *Service {
	s := &Service{Table: NewTable(c.Now), config: c, wakeup: make(chan struct{}, 1), listed: make(chan struct{}), created: c.Now()}
	s.decides = s.coordinates
	c.Conn.Handle(endingsMethod, s.handleReport)
	c.Conn.Handle(holdsMethod, s.handleHolds)
	return s
}

// RecordEnd records an ending that this node saw, and reports it to other nodes. It returns true if the
// request becomes held.
func (s *Service) RecordEnd(e Ending) (held bool) {
	held = s.applyEnding(e)
	s.enqueue(outgoingReport{Ending: e})
	return held
}

// Clear removes a request from the table, because an endpoint completed it for this node, and reports
// that to other nodes. It returns false, and sends nothing, if the request was not in the table.
func (s *Service) Clear(f Fingerprint) (known bool) { return s.clear(Ending{Fingerprint: f}) }

// ClearPart is Clear for a part of an account, with which an endpoint began to answer a request.
func (s *Service) ClearPart(account Fingerprint, p Part) (known bool) {
	return s.clear(Ending{Fingerprint: p.Key, Account: account})
}

// clear removes a request or part from the table and reports that to other nodes.
func (s *Service) clear(e Ending) (known bool) {
	known, recorded := s.remove(e.Fingerprint)
	if !known {
		return false
	}
	if recorded != nil {
		s.addRemoval(recorded)
	}
	s.enqueue(outgoingReport{Ending: e})
	return true
}

// coordinates reports whether this node is a coordinator of an account.
func (s *Service) coordinates(account Fingerprint) bool {
	return slices.Contains(s.coordinators(account, s.config.Peers()), s.config.Node)
}

// applyEnding adds an ending to the table, logs the hold if the request becomes held, and tells all nodes if a part
// becomes suspect.
func (s *Service) applyEnding(e Ending) (held bool) {
	held = s.Table.RecordEnd(e)
	s.tellSuspect(&e)
	if held {
		s.config.Log.Warn().Str("event", "request_held").Stringer("fingerprint", e.Fingerprint).
			Str("endpoint", e.Endpoint).Time("until", s.HeldUntil(e.Fingerprint)).Send()
		s.wake()
	}
	return held
}

func (s *Service) enqueue(o outgoingReport) {
	o.since = s.config.Now()
	s.mu.Lock()
	s.outgoing = append(s.outgoing, o)
	if excess := len(s.outgoing) - maxOutgoing; excess > 0 {
		s.outgoing = slices.Delete(s.outgoing, 0, excess)
	}
	s.mu.Unlock()
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// handleReport applies a report from a peer.
func (s *Service) handleReport(params json.RawMessage) (any, error) {
	r, err := decodeReport(params)
	if err != nil {
		return nil, err
	}
	pending := s.PartsPending()
	if r.HeldPart && len(r.Endings) > 0 {
		s.holdPart(r.Endings)
		return nil, nil
	}
	for _, e := range r.Endings {
		s.applyEnding(e)
		if r.Recorded {
			s.MarkRecorded(e.Fingerprint)
		}
	}
	for _, f := range r.Completed {
		s.Table.Clear(f)
	}
	if !pending && s.PartsPending() { // later reports must not wake it again, as each step sends reports
		s.wake()
	}
	return nil, nil
}

// Apply applies a record of the topic whose key IsRecord accepts. It fails if the record is invalid.
func (s *Service) Apply(r *follow.Record) error {
	if r.Value == nil {
		if f, err := ParseFingerprint(r.Key[len(keyPrefix):]); err == nil {
			s.dropRemovals(f)
			s.clearRecorded(f)
		}
		return nil
	}
	h, err := decodeHold(r, s.config.Now())
	if err != nil {
		return err
	}
	s.ApplyHold(h)
	return nil
}

// TopicRestored makes Run record again the holds that the topic lacks since it came back from an older
// copy. Apply must be called afterwards for the records that the topic has.
func (s *Service) TopicRestored() {
	s.restores.Add(1)
	s.markAllUnrecorded()
	s.mu.Lock()
	s.recordFrom = s.config.Now().Add(recordInterval)
	s.mu.Unlock()
	s.wake()
}

// Run learns of holds from other nodes, sends reports and records holds until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	var learning sync.WaitGroup
	learning.Go(func() { s.learnHolds(ctx) })
	defer learning.Wait()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		var resend <-chan time.Time
		if s.step(ctx) {
			resend = time.After(resendInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wakeup:
		case <-resend:
		case <-cleanup.C:
			s.removeExpired(ctx)
		}
	}
}

// PeersChanged makes Run send known endings to nodes that have joined. It is called after each read of the list of nodes
// and of the records of holds; the first call makes Run ask other nodes for what they know.
func (s *Service) PeersChanged() {
	s.listedOnce.Do(func() { close(s.listed) })
	if !s.Empty() {
		s.wake()
	}
}

// step sends pending reports and writes pending records once. It returns true if it must be called
// again after resendInterval.
func (s *Service) step(ctx context.Context) (more bool) {
	s.rebroadcast()
	s.DecideParts()
	s.announceParts()
	reports := s.pendingReports()
	if len(reports) == 0 && s.Empty() {
		return s.removeRecords(ctx)
	}
	peers := s.config.Peers()
	s.retellHolds(peers)
	sending := s.sendReports(reports, peers)
	recording := s.recordHolds(ctx, peers)
	removing := s.removeRecords(ctx)
	return sending || recording || removing || len(s.toRebroadcast) > 0 || s.PartsPending()
}
