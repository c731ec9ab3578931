package canary

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	service       = "s"
	share         = 0.1
	tolerance     = 50 // requests to a bad release beyond its share
	rollbackBound = 5 * time.Second
	within        = 24 * time.Second
	followDelay   = 3500 * time.Millisecond // of a node of a large system
)

// system is a system of nodes that move a service to another release, with a clock of its own.
type system struct {
	now      time.Time
	random   *rand.Rand
	nodes    []*simulated
	records  []follow.Record // of the topic
	storeUp  bool
	statuses []Status
	old, new []*fleet.Member
	lossRate float64
	all      map[string]netip.AddrPort // all nodes by name

	requests, exposed, bad int
	fiftiethBadAt          time.Time
	lateExposures          int
}

// simulated is one node.
type simulated struct {
	*Service
	system   *system
	addr     netip.AddrPort
	handlers map[string]datagram.Handler
	readUpTo int // records of the topic that it has read
	readAt   []time.Time
	alive    bool
	cutOff   bool // from the other nodes and the topic
	inFlight int  // at old endpoints
}

func newSystem(seed uint64, nodes int) *system {
	s := &system{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 5)), storeUp: true}
	f := fleet.New(zerolog.Nop())
	for i := range 20 {
		e := &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: service, Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 12, Release: "v1"}
		if i >= 10 {
			e.Release = "v2"
		}
		f.Update(e, s.now)
	}
	for _, m := range f.Members(service) {
		if m.Endpoint().Release == "v2" {
			s.new = append(s.new, m)
		} else {
			s.old = append(s.old, m)
		}
	}
	for i := range nodes {
		n := &simulated{system: s, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7)}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

// start starts a node, which reads the order.
func (n *simulated) start() {
	n.handlers = make(map[string]datagram.Handler)
	n.alive, n.inFlight = true, 0
	gate := &Gate{ExposureShare: share}
	n.Service = New(Config{
		Node: n.addr.String(), Gate: gate, Conn: n, Topic: n, Peers: n.peers,
		TopicEnd: func() int64 { return int64(n.readUpTo) },
		WriteStatus: func(_ context.Context, status Status) error {
			n.system.statuses = append(n.system.statuses, status)
			return nil
		},
		InFlight: func(string, string) int { return n.inFlight },
		Isolated: func() bool { return n.cutOff },
		Now:      func() time.Time { return n.system.now },
		Log:      zerolog.Nop(),
	})
	n.readUpTo = 0
	n.readTopic(true)
	gate.SetOrder(Order{Service: service, Release: "v2", Within: within, ID: 7, ReadAt: n.system.now})
}

// Handle implements Conn.
func (n *simulated) Handle(method string, h datagram.Handler) { n.handlers[method] = h }

// Notify implements Conn.
func (n *simulated) Notify(peers []netip.AddrPort, method string, params any) int {
	data, err := json.Marshal(params)
	if err != nil {
		panic(err) // can't fail for the messages
	}
	if n.cutOff {
		return 0
	}
	for _, to := range peers {
		other := n.system.at(to)
		if !other.alive || other.cutOff || n.system.random.Float64() < n.system.lossRate {
			continue
		}
		if _, err := other.handlers[method](data); err != nil {
			panic(err)
		}
	}
	return 0
}

var errStoreDown = errors.New("store is down")

// PutIf implements Topic.
func (n *simulated) PutIf(_ context.Context, key string, value []byte, end int64) error {
	s := n.system
	switch {
	case !s.storeUp || n.cutOff:
		return errStoreDown
	case end != int64(len(s.records)):
		return follow.ErrChanged
	}
	s.records = append(s.records, follow.Record{Key: key, Value: value, Offset: end})
	for _, other := range s.nodes {
		other.readAt = append(other.readAt, s.now.Add(time.Duration(s.random.Float64()*float64(followDelay))))
	}
	return nil
}

// readTopic reads what has arrived of the topic, or all of it.
func (n *simulated) readTopic(all bool) {
	for !n.cutOff && n.readUpTo < len(n.system.records) && (all || !n.system.now.Before(n.readAt[n.readUpTo])) {
		r := n.system.records[n.readUpTo]
		n.readUpTo++
		if err := n.Apply(&r); err != nil {
			panic(err)
		}
	}
}

// restore replaces the topic by an empty copy, which all nodes read.
func (s *system) restore() {
	s.records = nil
	for _, n := range s.nodes {
		n.readUpTo, n.readAt = 0, nil
		n.TopicRestored()
	}
}

// stepAll has all nodes step for a time.
func (s *system) stepAll(t *testing.T, lasts time.Duration) {
	t.Helper()
	for end := s.now.Add(lasts); s.now.Before(end); s.now = s.now.Add(stepInterval) {
		for _, n := range s.nodes {
			n.readTopic(false)
			n.step(t.Context())
		}
	}
}

// peers returns all nodes, this one included, which makes no difference to a service.
func (n *simulated) peers() map[string]netip.AddrPort {
	if len(n.system.all) != len(n.system.nodes) {
		n.system.all = make(map[string]netip.AddrPort)
		for _, node := range n.system.nodes {
			n.system.all[node.addr.String()] = node.addr
		}
	}
	return n.system.all
}

func (s *system) at(addr netip.AddrPort) *simulated {
	b := addr.Addr().As4()
	return s.nodes[int(b[2])<<8|int(b[3])]
}

// request has a node send one request.
func (s *system) request(n *simulated, released behavior) {
	gate := n.config.Gate
	all := append(append([]*fleet.Member{}, s.old...), s.new...)
	route := []string{"a", "a", "a", "b", "b", "c"}[s.random.IntN(6)]
	first, then := gate.Split(service, route, all, s.now)
	candidates := append(first, then...)
	if len(candidates) == 0 {
		return
	}
	m := candidates[s.random.IntN(max(len(first), 1))]
	gate.RecordSend(service, m, true)
	s.requests++
	b := usual
	if m.Endpoint().Release == "v2" {
		b = released
		s.exposed++
		if !s.fiftiethBadAt.IsZero() && s.now.Sub(s.fiftiethBadAt) > rollbackBound && !n.cutOff {
			s.lateExposures++
		}
	}
	bad, took := b.answer(s.random)
	if bad && m.Endpoint().Release == "v2" {
		if s.bad++; s.bad == 50 {
			s.fiftiethBadAt = s.now
		}
	}
	gate.RecordAnswer(service, route, m, bad, took)
}

// play plays the order until its end and a while longer. disturb, if not nil, is called before each
// step. It returns the recorded phases, after checking that they are in order.
func (s *system) play(t *testing.T, perSecond float64, released func(elapsed time.Duration) behavior, disturb func(elapsed time.Duration)) []Phase {
	t.Helper()
	started := s.now
	for elapsed := time.Duration(0); elapsed < within+5*time.Second; elapsed += stepInterval {
		s.now = started.Add(elapsed)
		if disturb != nil {
			disturb(elapsed)
		}
		for _, n := range s.nodes {
			if !n.alive {
				continue
			}
			n.readTopic(false)
			for rate := perSecond * stepInterval.Seconds() / float64(len(s.nodes)); rate > 0; rate-- {
				if s.random.Float64() < rate {
					s.request(n, released(elapsed))
				}
			}
			n.step(t.Context())
		}
	}
	var phases []Phase
	previous := Trial
	for i := range s.records {
		_, order, phase, err := decodeRecord(&s.records[i])
		must.NoError(t, err)
		must.Eq(t, 7, order)
		must.True(t, phase.mayFollow(previous), must.Sprint(phases, phase))
		previous = phase
		phases = append(phases, phase)
	}
	return phases
}
