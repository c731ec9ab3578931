package brittle

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/senders"
)

const (
	// lendMethod asks for a slot or renews one, and returnMethod ends a loan. Both may be repeated.
	lendMethod   = "brittle.lend"
	returnMethod = "brittle.return"
	// callTimeout is how long a lender has to answer.
	callTimeout = 150 * time.Millisecond
	// returnTries is how often a loan's end is sent until the lender confirms it. After that the loan expires.
	returnTries = 4
	// silentLenderPause is the time for which a node asks a lender that did not answer for no slots of the
	// same endpoint.
	silentLenderPause = 300 * time.Millisecond
	// refusalPause is the time for which a node sends nothing to an endpoint that refused a request, and also
	// the period for which endpoints count refusals.
	refusalPause = time.Second
)

// lendReply is the answer to a Claim.
type lendReply struct {
	Granted bool  `json:"granted"`
	RetryMs int64 `json:"retry_ms,omitempty"`
}

// returnNotice ends a loan.
type returnNotice struct {
	Lease     string `json:"lease"`
	Endpoint  string `json:"endpoint"`
	StartedMs int64  `json:"born,omitempty"`
	Refused   bool   `json:"refused,omitempty"`
}

// Conn carries calls between nodes. Neither a call nor its response is repeated.
type Conn interface {
	Handle(method string, h datagram.Handler)
	Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error
}

// Config configures a Service. All fields must be set.
type Config struct {
	Node string
	Conn Conn
	// View returns the nodes from which the lender of the endpoints of a failure domain is selected.
	View func(domain string, lenders int) senders.View
	// Addr returns the address of a listed node for messages.
	Addr func(node string) (netip.AddrPort, bool)
	// Load returns what is known to run at a start of an endpoint.
	Load func(endpoint string, startedMs int64) Load
	// Changed is called when an endpoint has reported to this node what was not known, so that the others are
	// told soon. It must not block.
	Changed func()
	Now     func() time.Time
	Log     zerolog.Logger
}

// Service holds what a node knows of brittle endpoints, lends their slots to other nodes and borrows them.
type Service struct {
	Reports  Reports
	config   Config
	lender   Lender
	lenders  Lenders
	blocked  Blocked
	lastID   atomic.Int64
	instance string // distinguishes the leases of this process from those of earlier ones
}

// New returns a service that answers other nodes on a connection which is not running yet.
func New(c Config) *Service {
	s := &Service{config: c, lenders: Lenders{View: c.View}, instance: c.Node + "/" + strconv.FormatInt(time.Now().UnixNano(), 36) + "/"}
	c.Conn.Handle(lendMethod, s.handleLend)
	c.Conn.Handle(returnMethod, s.handleReturn)
	return s
}

// Record records that an endpoint of a service stated in an answer to this node that it bears the given number of
// refusals per second. It reports whether that is new.
func (s *Service) Record(service string, refusals int) (isNew bool) {
	isNew = s.Reports.Record(service, refusals, s.config.Now(), true)
	if isNew {
		s.config.Changed()
	}
	return isNew
}

// RecordRelayed records what an endpoint stated to another node at the given time.
func (s *Service) RecordRelayed(service string, refusals int, at time.Time) {
	if s.Reports.Record(service, refusals, at, false) {
		s.config.Log.Info().Str("event", "service_brittle_heard").Str("service", service).Int("refusals", refusals).
			Int64("age_ms", s.config.Now().Sub(at).Milliseconds()).Send()
	}
}

// Endpoint is a start of a brittle endpoint, and a request for it.
type Endpoint struct {
	ID        string
	StartedMs int64 // Unix milliseconds, 0 if unknown
	Domain    string
	Slots     int // 0 if unknown
	Refusals  int // per second that it bears
	// Tokens is what the request holds in the endpoint's memory, Capacity the size of that memory; 0 if
	// unknown.
	Tokens, Capacity int
	// Running is the number of requests there, as far as this node knows.
	Running int
}

// Slot is a borrowed slot of an endpoint.
type Slot struct {
	service *Service
	claim   Claim
	domain  string

	mu       sync.Mutex
	renewal  *time.Timer
	released bool
}

// Wait returns how long this node must wait before it may ask for a slot of the endpoint; 0 if it may now.
func (s *Service) Wait(e *Endpoint, now time.Time) time.Duration {
	if wait := s.blocked.For(e.ID, e.StartedMs, now); wait > 0 {
		return wait
	}
	if e.Slots > 0 && e.Running >= e.Slots {
		return minDenial
	}
	return 0
}

// Borrow borrows a slot for a request. It returns nil if none is free or the lender does not answer; Wait then
// returns the time until it may be asked again.
func (s *Service) Borrow(ctx context.Context, e *Endpoint) *Slot {
	slot := &Slot{service: s, domain: e.Domain, claim: Claim{
		Lease: s.instance + strconv.FormatInt(s.lastID.Add(1), 36), Endpoint: e.ID, StartedMs: e.StartedMs, Slots: e.Slots,
		Refusals: e.Refusals, Tokens: e.Tokens, Capacity: e.Capacity,
	}}
	reply, err := s.lend(ctx, &slot.claim, e.Domain)
	now := s.config.Now()
	switch {
	case ctx.Err() != nil:
		go s.giveBack(slot.claim, slot.domain, false)
		return nil
	case err != nil:
		s.blocked.Until(e.ID, e.StartedMs, now.Add(silentLenderPause))
		s.config.Log.Info().Str("event", "lender_silent").Str("endpoint", e.ID).Str("lender", s.LenderOf(e.ID, e.Domain)).AnErr("error", err).Send()
		go s.giveBack(slot.claim, slot.domain, false)
		return nil
	case !reply.Granted:
		s.blocked.Until(e.ID, e.StartedMs, now.Add(time.Duration(reply.RetryMs)*time.Millisecond))
		return nil
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.renewal = time.AfterFunc(renewInterval, slot.renew)
	return slot
}

// Release returns the slot. refused is true if the endpoint refused the request for want of room: then this node
// sends nothing there for a second, also if the lender does not learn of it.
func (s *Slot) Release(refused bool) {
	s.mu.Lock()
	released := s.released
	s.released = true
	s.renewal.Stop()
	s.mu.Unlock()
	if released {
		return
	}
	if refused {
		s.service.blocked.Until(s.claim.Endpoint, s.claim.StartedMs, s.service.config.Now().Add(refusalPause))
	}
	go s.service.giveBack(s.claim, s.domain, refused)
}

// renew renews the loan until the slot is released.
func (s *Slot) renew() {
	s.mu.Lock()
	released := s.released
	if !released {
		s.renewal.Reset(renewInterval)
	}
	s.mu.Unlock()
	if released {
		return
	}
	claim := s.claim
	claim.Renews = true
	if _, err := s.service.lend(context.Background(), &claim, s.domain); err != nil {
		s.service.config.Log.Debug().Str("event", "loan_unrenewed").Str("endpoint", claim.Endpoint).AnErr("error", err).Send()
	}
}

// LenderOf returns the node that lends the slots of an endpoint, or "" if this node's member list is too old.
func (s *Service) LenderOf(endpoint, domain string) string { return s.lenders.Of(endpoint, domain) }

// lend asks the lender of an endpoint, which may be this node.
func (s *Service) lend(ctx context.Context, c *Claim, domain string) (lendReply, error) {
	lender := s.LenderOf(c.Endpoint, domain)
	if lender == s.config.Node {
		return s.lendOwn(c), nil
	}
	var reply lendReply
	return reply, s.call(ctx, lender, lendMethod, c, &reply)
}

// call calls a method of a lender.
func (s *Service) call(ctx context.Context, lender, method string, params, result any) error {
	addr, listed := s.config.Addr(lender)
	if !listed {
		return eris.Errorf("call lender %q: no address is listed", lender)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Conn.Call(ctx, addr, method, params, result)
}

// giveBack ends a loan. A loan whose end does not reach the lender expires.
func (s *Service) giveBack(c Claim, domain string, refused bool) {
	notice := returnNotice{Lease: c.Lease, Endpoint: c.Endpoint, StartedMs: c.StartedMs, Refused: refused}
	for range returnTries {
		lender := s.LenderOf(c.Endpoint, domain)
		if lender == s.config.Node {
			s.takeBack(&notice)
			return
		}
		var confirmed bool
		if s.call(context.Background(), lender, returnMethod, &notice, &confirmed) == nil {
			return
		}
	}
	s.config.Log.Info().Str("event", "loan_unreturned").Str("endpoint", c.Endpoint).Bool("refused", refused).Send()
}

func (s *Service) lendOwn(c *Claim) lendReply {
	granted, retryAfter := s.lender.Lend(c, s.config.Load(c.Endpoint, c.StartedMs), s.config.Now())
	return lendReply{Granted: granted, RetryMs: retryAfter.Milliseconds()}
}

func (s *Service) takeBack(n *returnNotice) {
	if n.Refused {
		s.config.Log.Info().Str("event", "loan_refused").Str("endpoint", n.Endpoint).Str("lease", n.Lease).Send()
	}
	s.lender.Return(n.Endpoint, n.StartedMs, n.Lease, n.Refused, s.config.Now())
}

func (s *Service) handleLend(params json.RawMessage) (any, error) {
	var c Claim
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, eris.Wrap(err, "decode a claim")
	}
	if c.Lease == "" || c.Endpoint == "" || c.Slots < 0 || c.Refusals < 0 || c.Tokens < 0 || c.Capacity < 0 {
		return nil, eris.Errorf("claim is out of range: %+v", c)
	}
	return s.lendOwn(&c), nil
}

func (s *Service) handleReturn(params json.RawMessage) (any, error) {
	var n returnNotice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, eris.Wrap(err, "decode the end of a loan")
	}
	s.takeBack(&n)
	return true, nil
}
