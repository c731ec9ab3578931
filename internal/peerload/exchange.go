package peerload

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// digestMethod is the name of the notification that carries a Digest.
	digestMethod = "node.load"
	// closureLifetime is how long an endpoint stays closed after a message, so that a few lost
	// messages are tolerated.
	closureLifetime = 800 * time.Millisecond
	// remoteInterval is the minimum interval between two messages on orders, or on this domain's
	// load, to other failure domains. They go to the two representatives of each domain (12
	// domains at 1,000 nodes), or to all nodes of a domain without an active representative.
	remoteInterval = 250 * time.Millisecond
	// referencesInterval is the interval between two messages with unchanged references, some of
	// which may be lost.
	referencesInterval = 500 * time.Millisecond
	// requestDelay is the delay after RequestReport, so that the request that caused the call is
	// already counted.
	requestDelay = time.Millisecond
	// collectorWarmUp is how long a node must have been collecting before it represents its
	// failure domain. When all nodes start together, each of them collects until it receives the
	// others' digests, and without the delay all of them would send to all other domains.
	collectorWarmUp = time.Second
	// standbyInterval is the interval between two messages of a standby collector to all local
	// nodes. A few of them may be lost before the node counts as gone.
	standbyInterval = 300 * time.Millisecond
)

// Conn carries notifications between nodes, without retransmission.
type Conn interface {
	// Addr returns this node's address for peers, IP:PORT.
	Addr() string
	// Handle registers the handler of a method. It must be called before messages arrive.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer and returns the bytes of all messages.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
}

var _ Conn = (*datagram.Conn)(nil)

// Config configures an Exchange. All fields must be set unless their comment says otherwise.
type Config struct {
	Node   string
	Domain string // failure domain of this node
	Conn   Conn
	// Members returns the endpoints whose load is reported.
	Members func() []*fleet.Member
	// Member returns the endpoint with the id, or nil. If Member is nil, Members is searched.
	Member func(id string) *fleet.Member
	// Late returns the holders whose fetches are late.
	Late func() []Late
	// Slow returns the engines that are slow by this node's own observation. Nil means that the pace
	// of engines is not observed.
	Slow func() []Slow
	// Brittle returns the services whose endpoints told this node that they are brittle, and ApplyBrittle
	// receives those that told other nodes. Nil means that this is not exchanged.
	Brittle      func() []Brittle
	ApplyBrittle func(service string, refusals int, at time.Time)
	// Orders returns the engines that this node has closed to load weights, and whether it holds
	// the claim to give orders, as in Digest.Leads.
	Orders func() (closed []weights.Closed, leads bool)
	// References returns the oldest versions whose parts this node still references at stores.
	References func() []OldestReferenced
	// Neighbours returns the other nodes of this node's failure domain.
	Neighbours func() Neighbours
	// Role returns this node's role in distributing loads within the failure domain. It is called
	// in large systems only. Nil means that each node sends its load to all others there.
	Role func() Role
	// LinkBytes is the bandwidth of the host's link in bytes per second; 0 if unknown.
	LinkBytes int
	// Clock timestamps the peers' reports. Nil is the monotonic clock.
	Clock *clock.Clock
	Log   zerolog.Logger
}

// Exchange sends this node's digests and receives those of its peers.
type Exchange struct {
	Table *Table

	config          Config
	incarnation     int64
	log             zerolog.Logger
	peers           atomic.Pointer[recipients]
	collecting      atomic.Bool
	reportRequested chan struct{}
	// seq is the number of the newest digest. Run raises it before it reads the loads for a digest.
	seq     atomic.Int64
	notices noticeState

	// The remaining fields are used by Run only.
	role               Role
	collectingSince    time.Time // when this node became a collector
	remoteDigestSentAt time.Time // last Digest to remote nodes
	localSentAt        time.Time // last message to all local nodes
	domainLoadSentAt   time.Time // last message with this failure domain's load
	// domainDigestSentAt is the time of the last digest of this failure domain.
	domainDigestSentAt time.Time
	remoteDigestActive bool // the last Digest to remote nodes reported orders or loads
	// sentReferences are the references last sent to peers, and referencesSentAt is when.
	sentReferences   []OldestReferenced
	referencesSentAt time.Time
}

// New returns an exchange that receives digests on a connection that is not running yet.
func New(c Config) *Exchange {
	e := &Exchange{
		Table: NewTable(), config: c, incarnation: time.Now().UnixNano(),
		log: c.Log, reportRequested: make(chan struct{}, 1), notices: newNoticeState(),
	}
	c.Conn.Handle(digestMethod, e.receiveDigest)
	c.Conn.Handle(domainMethod, e.receiveDomainDigest)
	c.Conn.Handle(domainLoadMethod, e.receiveDomainLoad)
	c.Conn.Handle(noticeMethod, e.receiveNotice)
	return e
}

// Run sends digests and notices until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	var notices sync.WaitGroup
	notices.Go(func() { e.sendNotices(ctx) })
	defer notices.Wait()
	sent := 0
	for ctx.Err() == nil {
		spacing, interval := intervals.DigestIntervals(e.localCount())
		if e.role.Collects {
			interval = spacing // the aggregate changes all the time
		}
		sent += int(e.notices.unpacedBytes.Swap(0))
		spacing = max(spacing, intervals.SendPause(sent, e.config.LinkBytes))
		retry.Sleep(ctx, spacing)
		e.awaitReportRequest(ctx, interval-spacing)
		sent = e.send()
	}
	return nil
}

// awaitReportRequest returns after d or shortly after RequestReport, at once if d is not positive.
func (e *Exchange) awaitReportRequest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		// No timer is created: in a synctest bubble, a timer that fires on the goroutine that waits
		// for it shares a race context with the bubble's other timers, which crashes the race
		// detector's runtime (SIGSEGV or a failed epoch check).
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.reportRequested:
		retry.Sleep(ctx, requestDelay)
	}
}

// RequestReport schedules a message soon because this node's load has changed. It never blocks.
func (e *Exchange) RequestReport() {
	select {
	case e.reportRequested <- struct{}{}:
	default:
	}
}

// send sends this node's load to its peers, and returns the bytes of all messages. All nodes
// receive the orders of a node that gives orders, because none may send requests to engines that
// are loading. Remote nodes receive them less often: one message to each of many nodes would
// saturate a small host's link.
func (e *Exchange) send() (bytes int) {
	peers := e.peers.Load()
	if peers == nil {
		return 0
	}
	members := e.config.Members()
	e.notices.domainEngines.Store(countDomainEngines(members, e.config.Domain))
	seq, loads := e.readLoads(members)
	digest := e.ordersDigest(members, seq)
	if len(peers.remote) > 0 && e.config.Clock.Since(e.remoteDigestSentAt) >= remoteInterval {
		bytes += e.sendRemote(peers, digest, members)
	}
	bytes += e.sendDomainDigest(peers)
	digest.Late, digest.Slow = e.config.Late(), e.slowToSend()
	digest.References = e.referencesToSend()
	digest.Limits, digest.Brittle = LimitsOf(members, e.config.Clock.Now()), e.brittleToSend()
	digest.Loads, digest.Starts = fitLoads(loads, e.maxMessageBytes(len(peers.local)))
	return bytes + e.sendLocal(peers, digest, members)
}

// sendLocal sends a digest to the local nodes. In a large system only the collectors receive each
// node's digest.
func (e *Exchange) sendLocal(peers *recipients, digest *Digest, members []*fleet.Member) (bytes int) {
	if len(peers.remote) == 0 || e.config.Role == nil {
		e.notices.recipients.Store(nil)
		return e.config.Conn.Notify(peers.local, digestMethod, digest)
	}
	now := e.config.Clock.Now()
	wasCollecting := e.role.Collects
	e.role = e.config.Role()
	if e.role.Collects != wasCollecting {
		e.collectingSince = now
		e.collecting.Store(e.role.Collects)
		e.log.Info().Str("event", "collects").Bool("collects", e.role.Collects).Int("heard", e.Table.LiveNodes(now)).Send()
	}
	e.notices.setRecipients(peers.local, &e.role)
	e.Table.RecordOwnDigest(digest, e.role.Collects)
	switch {
	case e.role.Collects:
		bytes = e.sendDomainLoad(peers, digest, members)
		digest.Aggregate = e.Table.Collect(now)
	case len(e.role.Collectors) > 0 && !(e.role.StandsBy && now.Sub(e.localSentAt) >= standbyInterval):
		return e.config.Conn.Notify(e.role.Collectors, digestMethod, digest)
	}
	e.localSentAt = now
	return bytes + e.config.Conn.Notify(peers.local, digestMethod, digest)
}

// IsCollector reports whether this node is a collector of its failure domain.
func (e *Exchange) IsCollector() bool { return e.collecting.Load() }

// mayRepresentDomain reports whether this node may represent its failure domain: it has been a
// collector for collectorWarmUp, or the domain has no collectors.
func (e *Exchange) mayRepresentDomain(now time.Time) bool {
	return e.config.Role == nil || e.role.Collects && now.Sub(e.collectingSince) >= collectorWarmUp
}

// maxMessageBytes returns the size of the largest message that can be sent to the given number of
// peers within sendTime.
func (e *Exchange) maxMessageBytes(peers int) int {
	return intervals.MaxMessageSize(peers, e.config.LinkBytes, sendTime)
}

// referencesToSend returns the oldest versions that this node still references, if they changed or
// referencesInterval has passed, else nil. They hold until a newer message, so they needn't be in
// each one.
func (e *Exchange) referencesToSend() []OldestReferenced {
	references := e.config.References()
	if slices.Equal(references, e.sentReferences) && e.config.Clock.Since(e.referencesSentAt) < referencesInterval {
		return nil
	}
	e.sentReferences, e.referencesSentAt = references, e.config.Clock.Now()
	return references
}

// sendRemote sends this node's orders to the representatives of other failure domains. If this
// domain has no collectors, it also sends this node's load at engines there. After the last order
// and load it sends one more message, which reports that there are none.
func (e *Exchange) sendRemote(peers *recipients, digest *Digest, members []*fleet.Member) (bytes int) {
	remote := *digest
	to := peers.representatives(e.Table, e.config.Clock.Now())
	if e.config.Role == nil { // otherwise the collectors report it
		remote.setLoads(remoteEngines(members, e.config.Domain), e.maxMessageBytes(len(to)), e.config.Clock.Now())
	}
	active := remote.Leads || len(remote.Loads) > 0
	if active || e.remoteDigestActive {
		bytes = e.config.Conn.Notify(to, digestMethod, &remote)
		e.remoteDigestSentAt = e.config.Clock.Now()
	}
	e.remoteDigestActive = active
	return bytes
}

// remoteEngines returns the engines of other failure domains. Endpoints without weights are left
// out: all nodes use all of them, each a few at a time.
func remoteEngines(members []*fleet.Member, domain string) []*fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *fleet.Member) bool {
		at := m.Endpoint()
		return at.Domain == domain || len(at.Weights) == 0
	})
}

// ordersDigest returns the digest with the given number, with the orders that this node gives and the
// weight versions that engines reported to it.
func (e *Exchange) ordersDigest(members []*fleet.Member, seq int64) *Digest {
	d := &Digest{Node: e.config.Node, Incarnation: e.incarnation, Seq: seq, UnlistedWeights: UnlistedWeightsOf(members, e.config.Clock.Now())}
	var closed []weights.Closed
	closed, d.Leads = e.config.Orders()
	for _, c := range closed {
		d.ForMs = closureLifetime.Milliseconds()
		if c.Loads {
			d.Loading = append(d.Loading, c.Endpoint)
		} else {
			d.Emptied = append(d.Emptied, c.Endpoint)
		}
	}
	return d
}
