package canary

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// judges is the number of nodes that judge an order, so that one is left after the loss of two.
	judges = 3
	// judgeDelay is by how much each of them waits longer than the one before until it acts.
	judgeDelay = 1500 * time.Millisecond
	// stepInterval is the time between two looks at the orders.
	stepInterval = 250 * time.Millisecond
	// minReportInterval is the time between two reports with nothing new on the release on trial.
	// maxReports is the maximum number of such reports per second that a judge receives.
	minReportInterval = time.Second
	maxReports        = 200
	// noticeRepeats is how often a notice is sent, as messages may be lost; nodes that get none of them
	// read the record.
	noticeRepeats = 3
	writeTimeout  = time.Second
	// peersLifetime is how long the list of nodes is used: making it takes time in a large system.
	peersLifetime = 2 * time.Second
	// silenceMargin is added to two report intervals before a node counts as silent.
	silenceMargin = 2 * time.Second
)

// Conn carries notifications between nodes. It does not retransmit them.
type Conn interface {
	// Handle registers the handler of a method. It must be called before messages arrive.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer, and returns the total number of bytes sent.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
}

// Topic stores the recorded phases.
type Topic interface {
	// PutIf writes the newest record of a key on condition that the topic still ends at the given
	// offset; otherwise it fails with follow.ErrChanged.
	PutIf(ctx context.Context, key string, value []byte, end int64) error
}

// Config holds the dependencies of a Service. All fields must be set.
type Config struct {
	Node string
	Gate *Gate
	Conn Conn
	// Peers returns the addresses of the other nodes by node name.
	Peers func() map[string]netip.AddrPort
	Topic Topic
	// TopicEnd returns the offset up to which this node has read the topic.
	TopicEnd func() int64
	// WriteStatus tells operators the state of an order. It may be repeated.
	WriteStatus func(ctx context.Context, s Status) error
	// InFlight returns the number of this node's requests at endpoints of a service whose release is not
	// the given one.
	InFlight func(service, release string) int
	// Isolated reports whether this node hears of none of the other nodes.
	Isolated func() bool
	Now      func() time.Time
	Log      zerolog.Logger
}

// Service counts answers for orders together with the other nodes, judges them, and records their
// phases.
type Service struct {
	config      Config
	incarnation int64

	mu      sync.Mutex
	reports map[string]map[string]receivedReport // newest report by service and node

	// The fields below are used only by Run.
	seq     int64
	peers   map[string]netip.AddrPort // as of peersAt
	peersAt time.Time
	work    map[string]*orderWork // by service
	notices []outgoingNotice
}

type receivedReport struct {
	*report
	at time.Time
}

type outgoingNotice struct {
	notice
	left int
}

// orderWork is what Run remembers of an order.
type orderWork struct {
	order       int64
	reportedAt  time.Time
	wanted      Phase     // phase that the order should have by this node's judgement
	wantedSince time.Time // since when it should
	// unrecordedSince is since when the topic lacks the phase; zero if it has it.
	unrecordedSince time.Time
	// worseAloneAt is when this node last found the release to be worse while it was isolated.
	worseAloneAt time.Time
	statusPhase  Phase // phase that this node told operators
	statusKnown  bool
	phaseAt      time.Time // since when the present phase is known
	phase        Phase
	judges       []string // as of judgesAt
	judgesAt     time.Time
}

// New returns a service that receives messages once c.Conn runs.
func New(c Config) *Service {
	s := &Service{config: c, incarnation: c.Now().UnixNano(), reports: make(map[string]map[string]receivedReport), work: make(map[string]*orderWork)}
	c.Conn.Handle(reportMethod, s.handleReport)
	c.Conn.Handle(noticeMethod, s.handleNotice)
	return s
}

// TopicRestored makes Run record again the phases that the topic lacks since it came back from an older
// copy. Apply must be called afterwards for the records that the topic has.
func (s *Service) TopicRestored() { s.config.Gate.forgetRecords() }

// Apply applies a record of the topic whose key IsRecord accepts. It fails if the record is invalid.
func (s *Service) Apply(r *follow.Record) error {
	if r.Value == nil {
		return nil
	}
	service, order, phase, err := decodeRecord(r)
	if err != nil {
		return err
	}
	s.config.Gate.setRecorded(service, order, phase)
	return nil
}

func (s *Service) handleReport(params json.RawMessage) (any, error) {
	r, err := decodeReport(params)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := s.reports[r.Service]
	if nodes == nil {
		nodes = make(map[string]receivedReport)
		s.reports[r.Service] = nodes
	}
	before := nodes[r.Node].report
	if before != nil && (before.Order > r.Order || before.Order == r.Order &&
		(before.Incarnation > r.Incarnation || before.Incarnation == r.Incarnation && before.Seq >= r.Seq)) {
		return nil, nil // it arrived late
	}
	nodes[r.Node] = receivedReport{r, s.config.Now()}
	return nil, nil
}

func (s *Service) handleNotice(params json.RawMessage) (any, error) {
	n, phase, err := decodeNotice(params)
	switch {
	case err != nil:
		return nil, err
	case n.Held:
		s.config.Gate.hold(n.Service, n.Order)
	case phase != Trial:
		s.config.Gate.setRecorded(n.Service, n.Order, phase)
	}
	return nil, nil
}

// Run reports, judges and records until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.step(ctx)
		retry.Sleep(ctx, stepInterval)
	}
	return nil
}

// step does once what is due for all orders.
func (s *Service) step(ctx context.Context) {
	orders := s.config.Gate.orders()
	maps.DeleteFunc(s.work, func(service string, _ *orderWork) bool {
		return !slices.ContainsFunc(orders, func(o orderState) bool { return o.Service == service })
	})
	if len(orders) == 0 {
		return
	}
	if now := s.config.Now(); s.peers == nil || now.Sub(s.peersAt) >= peersLifetime {
		s.peers, s.peersAt = s.config.Peers(), now
	}
	peers := s.peers
	for i := range orders {
		s.stepOrder(ctx, &orders[i], peers)
	}
	s.sendNotices(peers)
}

func (s *Service) stepOrder(ctx context.Context, o *orderState, peers map[string]netip.AddrPort) {
	now := s.config.Now()
	w := s.work[o.Service]
	if w == nil || w.order != o.ID {
		w = &orderWork{order: o.ID, wanted: o.phase, wantedSince: now, phase: o.phase, phaseAt: now}
		s.work[o.Service] = w
	}
	if w.phase != o.phase {
		w.phase, w.phaseAt = o.phase, now
		s.config.Log.Info().Str("event", "release_order").Str("service", o.Service).Str("release", o.Release).
			Int64("order", o.ID).Stringer("phase", o.phase).Send()
	}
	if w.judges == nil || w.judgesAt != s.peersAt {
		w.judges, w.judgesAt = s.judges(o.Service, peers), s.peersAt
	}
	names := w.judges
	rank := slices.Index(names, s.config.Node)
	if !o.phase.Final() {
		s.report(o, w, names, peers, now)
		s.judgeAlone(o, w, now)
	}
	if rank < 0 {
		return
	}
	s.restorePhase(ctx, o, w, rank, now)
	if !o.phase.Final() {
		s.judge(ctx, o, w, rank, now)
	}
	s.tellOperators(ctx, o, w, rank, now)
}

// judges returns the nodes that judge an order, in the order in which they act. This node may be one.
func (s *Service) judges(service string, peers map[string]netip.AddrPort) []string {
	return rendezvous.TopOf(judges, service, s.config.Node, maps.Keys(peers))
}

// reportInterval returns the time between two reports of a node with nothing new on the release on trial.
func reportInterval(nodes int) time.Duration {
	return max(minReportInterval, time.Duration(nodes)*time.Second/maxReports)
}

// report sends what this node counted to the judges: soon after an answer of the release on trial, and
// now and then otherwise.
func (s *Service) report(o *orderState, w *orderWork, names []string, peers map[string]netip.AddrPort, now time.Time) {
	if !o.dirty && now.Sub(w.reportedAt) < reportInterval(len(peers)) {
		return
	}
	w.reportedAt = now
	s.config.Gate.markReported(o.Service)
	s.seq++
	r := &report{
		Service: o.Service, Order: o.ID, Node: s.config.Node, Incarnation: s.incarnation, Seq: s.seq,
		Phase: o.phase.String(), AgeMS: min(now.Sub(o.ReadAt), maxAge).Milliseconds(), OldInFlight: s.config.InFlight(o.Service, o.Release), Rows: o.rows,
	}
	for _, name := range names {
		if addr, known := peers[name]; known && name != s.config.Node {
			s.config.Conn.Notify([]netip.AddrPort{addr}, reportMethod, r)
		}
	}
}

func (s *Service) notify(n notice) {
	s.notices = append(s.notices, outgoingNotice{n, noticeRepeats})
}

// sendNotices sends the notices of the last steps to all nodes.
func (s *Service) sendNotices(peers map[string]netip.AddrPort) {
	if len(s.notices) == 0 {
		return
	}
	all := slices.Collect(maps.Values(peers))
	for i := range s.notices {
		s.config.Conn.Notify(all, noticeMethod, s.notices[i].notice)
		s.notices[i].left--
	}
	s.notices = slices.DeleteFunc(s.notices, func(n outgoingNotice) bool { return n.left <= 0 })
}
