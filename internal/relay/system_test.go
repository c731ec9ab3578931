package relay

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/intervals"
)

// simNodes is the number of nodes of the largest simulated system.
var simNodes = flag.Int("sim-nodes", 985, "number of nodes of the largest simulated system")

// simulatedSizes returns the numbers of nodes of the simulated systems.
func simulatedSizes() []int {
	if underRace {
		return []int{60}
	}
	return []int{295, *simNodes}
}

// configValue returns a version of a configuration of some 100 KB, of which some 22 KB remain when it is
// compressed. Versions differ in a few bytes.
func configValue(version int) []byte {
	random := rand.New(rand.NewPCG(7, 7))
	text := fmt.Sprintf(`{"version":%d,"routes":[`, version)
	var b strings.Builder
	b.WriteString(text)
	for i := range 800 {
		var name [24]byte
		for at := 0; at < len(name); at += 8 {
			binary.BigEndian.PutUint64(name[at:], random.Uint64())
		}
		timeout := 1000
		if i == 400 {
			timeout = version
		}
		fmt.Fprintf(&b, `{"name":"r-%s","hostname":"host.example","path-prefix":"/p/","route-kind":"idempotent","timeout-ms":%d},`, hex.EncodeToString(name[:]), timeout)
	}
	return []byte(b.String())
}

// simNode is a node of a simulated system that follows the configuration.
type simNode struct {
	addr   netip.AddrPort
	domain int
	rank   int // within the failure domain
	conn   *simConn
	store  *simStoreTopic
	topic  *Topic

	mu          sync.Mutex
	lostAt      time.Time // of which the others know after simPeerTimeout; zero if the node isn't lost
	version     int64     // offset of the newest record; -1 if none
	next        int64     // position after the newest record of the copy
	confirmedAt time.Time
	wentBack    bool
}

// Apply implements follow.Sink.
func (n *simNode) Apply(b follow.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range b.Records {
		n.version = max(n.version, r.Offset)
	}
	n.next = b.Next
	n.wentBack = n.wentBack || b.ConfirmedAt.Before(n.confirmedAt)
	n.confirmedAt = b.ConfirmedAt
}

// state returns the age of the node's copy and the offset of its newest record.
func (n *simNode) state() (age time.Duration, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.confirmedAt), n.version
}

// hasGoneBack reports whether the proof of the copy's age went back.
func (n *simNode) hasGoneBack() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wentBack
}

// system is a simulated system of nodes in five failure domains, each with two readers.
type system struct {
	network *simNetwork
	store   *simStore
	nodes   []*simNode
}

const (
	simDomains  = 5
	simReaders  = 2
	simStandbys = 4
	simLink     = 2_500_000 // bytes per second of a small host
	simRevoke   = 5 * time.Second
	// simPeerTimeout is the time after which a lost node is known to be lost.
	simPeerTimeout = time.Second
	storeEgress    = 80_000_000 // bytes per second
	// listedBytes is the size of a node in the list of nodes, as the store sends it.
	listedBytes = 260
)

func newSystem(count int, loss float64) *system {
	s := &system{network: newSimNetwork(loss), store: newSimStore(storeEgress)}
	for i := range count {
		n := &simNode{version: -1, domain: i % simDomains, rank: i / simDomains, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % simDomains), byte(i >> 8), byte(i)}), 7700)}
		link := simLink
		if n.isReader() {
			link = 50 * simLink
		}
		n.conn = s.network.connect(n.addr, intervals.AnswerRate(link))
		n.store = &simStoreTopic{store: s.store, link: link}
		n.topic = s.newTopic(n, i)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// newTopic returns the topic through which a node reads the configuration.
func (s *system) newTopic(n *simNode, number int) *Topic {
	return &Topic{
		Name: "config", Store: n.store, Relay: New(n.conn), Readers: func() []netip.AddrPort { return s.readersOf(n) },
		Preference: uint64(number), Backups: func() []netip.AddrPort { return s.backupsOf(n) },
		Standbys:    func() []netip.AddrPort { return s.standbysOf(n) },
		SparesStore: func() bool { return s.aliveRank(n) >= simReaders+simStandbys },
		Fallback:    func() time.Duration { return intervals.FallbackInterval(len(s.nodes)) }, Log: zerolog.Nop(),
	}
}

// isReader reports whether the node reads the store for its failure domain.
func (n *simNode) isReader() bool { return n.rank < simReaders }

// readersOf returns the readers of a node's failure domain; none for a reader.
func (s *system) readersOf(n *simNode) []netip.AddrPort {
	if s.aliveRank(n) < simReaders {
		return nil
	}
	return s.ranked(0, simReaders, func(other *simNode) bool { return other.domain == n.domain })
}

// standbysOf returns the standbys for the readers of a node's failure domain.
func (s *system) standbysOf(n *simNode) []netip.AddrPort {
	return s.ranked(simReaders, simReaders+simStandbys, func(other *simNode) bool { return other != n && other.domain == n.domain })
}

// backupsOf returns the readers of all failure domains but the node itself.
func (s *system) backupsOf(n *simNode) []netip.AddrPort {
	return s.ranked(0, simReaders, func(other *simNode) bool { return other != n })
}

// candidatesOf returns the readers of a node's failure domain and their standbys.
func (s *system) candidatesOf(n *simNode) []netip.AddrPort {
	return s.ranked(0, simReaders+simReaders, func(other *simNode) bool { return other != n && other.domain == n.domain })
}

// ranked returns the addresses of the nodes of some ranks that match. Nodes that are known to be lost have no rank.
func (s *system) ranked(from, to int, match func(*simNode) bool) []netip.AddrPort {
	var addrs []netip.AddrPort
	var rank [simDomains]int
	for _, n := range s.nodes {
		if n.knownLost() {
			continue
		}
		if r := rank[n.domain]; r >= from && r < to && match(n) {
			addrs = append(addrs, n.addr)
		}
		if rank[n.domain]++; slices.Min(rank[:]) >= to {
			break
		}
	}
	return addrs
}

// knownLost reports whether the other nodes know that the node was lost.
func (n *simNode) knownLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lostAt.IsZero() && time.Since(n.lostAt) > simPeerTimeout
}

// lose ends the calls to a node and has it lost from now on.
func (n *simNode) lose() {
	n.conn.mu.Lock()
	n.conn.down = true
	n.conn.mu.Unlock()
	n.mu.Lock()
	n.lostAt = time.Now()
	n.mu.Unlock()
}

// aliveRank returns a node's rank among those of its failure domain that aren't known to be lost.
func (s *system) aliveRank(n *simNode) int {
	rank := n.rank
	for _, other := range s.nodes[:n.rank*simDomains] {
		if other.domain == n.domain && other.knownLost() {
			rank--
		}
	}
	return rank
}

// run starts a node, which reads until ctx is done.
func (s *system) run(ctx context.Context, n *simNode) {
	eras := &follow.Eras{Stated: n.store.Era}
	n.topic.Eras = eras
	replica := &Copy{Sink: n, Eras: eras}
	n.topic.Relay.Serve("config", replica)
	n.topic.Own = replica
	f := follow.Follower{
		Name: "config", Topic: n.topic, Sink: replica, Retry: 250 * time.Millisecond, MaxRetryDelay: time.Second, Log: zerolog.Nop(),
		Wait: func() time.Duration {
			switch {
			case n.topic.Relayed():
				return 0
			case s.aliveRank(n) < simReaders:
				return intervals.ConfigWait(intervals.MaxMeshNodes, simRevoke)
			}
			return intervals.ConfigWait(len(s.nodes), simRevoke)
		},
		Pause: func() time.Duration {
			if n.topic.Relayed() {
				return simPollInterval
			}
			return 0
		},
	}
	_ = f.Run(ctx)
}

// start starts all nodes, one after the other within some seconds.
func (s *system) start(ctx context.Context) {
	for i, n := range s.nodes {
		go func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			s.run(ctx, n)
		}()
	}
	time.Sleep(15 * time.Second)
}

// oldest returns the greatest age of the copies of the nodes that match, and the offset of the oldest of
// their newest records.
func (s *system) oldest(match func(i int) bool) (age time.Duration, version int64) {
	records, _, _ := s.store.totals()
	version = int64(records)
	for i, n := range s.nodes {
		if match(i) {
			a, v := n.state()
			age, version = max(age, a), min(version, v)
		}
	}
	return age, version
}

// storm is a series of changes while the store rejects the calls of some nodes. Times are counted from the
// first change.
type storm struct {
	changes      int
	interval     time.Duration
	rejectedFrom time.Duration
	rejectedFor  time.Duration
	rejected     func(n *simNode) bool
}

// stormResult is the worst that was seen during a storm and for some time after it.
type stormResult struct {
	age  time.Duration // of a configuration, at a node that the store serves
	late time.Duration // from a change until it was in force at all nodes that the store serves
	// rejectedLate is the time from a change until it was in force at all nodes.
	rejectedLate time.Duration
	wentBack     bool // the proof of a copy's age went back
}

// play carries out a storm and observes the nodes until the given time after its first change.
func (s *system) play(storm *storm, until time.Duration) (result stormResult) {
	began := time.Now()
	var writtenAt []time.Time
	sinceFirst := func(version int64) time.Duration {
		if int(version) >= len(writtenAt) {
			return 0
		}
		return time.Since(writtenAt[version])
	}
	for time.Since(began) < until {
		elapsed := time.Since(began)
		if len(writtenAt) < storm.changes && elapsed >= time.Duration(len(writtenAt))*storm.interval {
			writtenAt = append(writtenAt, time.Now())
			s.store.write(configValue(len(writtenAt)))
		}
		rejects := elapsed >= storm.rejectedFrom && elapsed < storm.rejectedFrom+storm.rejectedFor
		for _, n := range s.nodes {
			n.store.setRejected(rejects && storm.rejected(n))
			age, version := n.state()
			result.rejectedLate = max(result.rejectedLate, sinceFirst(version))
			if !storm.rejected(n) {
				result.age, result.late = max(result.age, age), max(result.late, sinceFirst(version))
			}
			result.wentBack = result.wentBack || n.hasGoneBack()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result
}

const (
	// staleLimit is the age of a configuration from which on a node refuses all requests.
	staleLimit = simRevoke - 300*time.Millisecond
	// applyLimit is the time within which a change must be in force.
	applyLimit = 5 * time.Second
)
