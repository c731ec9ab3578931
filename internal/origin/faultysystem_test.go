package origin

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// readTimeout is the time that a node's reads of the registry and of the records take at most.
const readTimeout = time.Second

// life is a node from a start to its end.
type life struct {
	*Service
	peer     Peer
	system   *faultySystem
	handlers map[string]datagram.Handler
	observer *Observer
	copy     *Releases
	gate     *Gate
	store    reachedStore
	ctx      context.Context
	end      context.CancelFunc
	known    map[string]bool // releases that the node lists

	cutFromStore, cutFromNodes, cutFromRecords atomic.Bool
	// frozenUntil is a Unix time, storeDelay the time before and after each call of the store, and writesLate by how
	// much later than they get no answer writes are executed, all in ns.
	frozenUntil, storeDelay, writesLate atomic.Int64
}

// awaitThaw waits while the node stands still.
func (l *life) awaitThaw() {
	for left := l.frozenUntil.Load() - time.Now().UnixNano(); left > 0; left = l.frozenUntil.Load() - time.Now().UnixNano() {
		time.Sleep(time.Duration(left))
	}
}

// faultySystem has nodes that run by themselves, on a store with faults, with callers who begin and resume streams at all
// of them.
type faultySystem struct {
	peers     []Peer
	store     *faultyStore
	logged    memoryLog
	retention time.Duration
	ctx       context.Context
	stop      context.CancelFunc
	// faults ends when no more faults begin or end.
	faults   context.Context
	endFault context.CancelFunc
	tasks    sync.WaitGroup

	mu    sync.Mutex
	lives []*life // nil for a node that is down
	callers
}

func newFaultySystem(t *testing.T, size int, keep time.Duration) *faultySystem {
	s := &faultySystem{store: newFaultyStore(), retention: keep, lives: make([]*life, size)}
	for i := range size {
		s.peers = append(s.peers, newPeer(i))
	}
	s.store.wrote = s.checkRecorded
	s.servesUntil, s.resumed, s.startedAt = make(map[string]time.Time), make(map[Source]int), time.Now()
	s.ctx, s.stop = context.WithCancel(t.Context())
	s.faults, s.endFault = context.WithCancel(s.ctx)
	return s
}

// close ends all nodes.
func (s *faultySystem) close() {
	s.stop()
	s.tasks.Wait()
	time.Sleep(2 * confirmTimeout) // reads under way
}

// alive returns the nodes that are up.
func (s *faultySystem) alive() (list []*life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lives {
		if l != nil {
			list = append(list, l)
		}
	}
	return list
}

// startNode starts a node unless it is up. It lists the others from the start.
func (s *faultySystem) startNode(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lives[i] != nil {
		return
	}
	l := &life{peer: s.peers[i], system: s, observer: NewObserver(), known: make(map[string]bool), handlers: make(map[string]datagram.Handler)}
	l.ctx, l.end = context.WithCancel(s.ctx)
	l.store = reachedStore{s.store, l}
	keep := func() time.Duration { return s.retention }
	l.copy = NewReleases(ReleasesConfig{
		Topic: l.store, Spacing: func() time.Duration { return time.Duration(len(s.peers)) * time.Millisecond }, Retention: keep, Now: time.Now,
	})
	l.gate = &Gate{Releases: l.copy, Observer: l.observer, Retention: keep, IsIsolated: l.isIsolated, Now: time.Now}
	l.Service = New(Config{Conn: l, Self: l.peer, WasListed: func() bool { return true }, Now: time.Now, Retention: keep, Sole: l.gate.Sole, Releases: l.copy, Streams: l.openLog(), Log: zerolog.Nop()})
	var others []Peer
	var names []string
	for _, p := range s.peers {
		if p != l.peer {
			others, names = append(others, p), append(names, p.Name)
		}
	}
	l.SetPeers(others)
	recorder := NewRecorder(RecorderConfig{
		Node: l.peer.Name, Topic: l.store, Releases: l.copy, Observer: l.observer, LearnReleases: l.LearnReleases, Peers: func() []string { return names },
		Services: func() []string { return []string{service} }, Retention: keep,
		Random: func(limit int64) int64 { return limit * int64(i) / int64(len(s.peers)) }, Now: time.Now, Log: zerolog.Nop(),
	})
	s.lives[i] = l
	s.tasks.Go(func() { _ = l.Run(l.ctx) })
	first := time.Duration(i+1) * time.Millisecond
	s.tasks.Go(func() { l.every(recordInterval, first, l.read) })
	s.tasks.Go(func() { l.every(recordInterval, first+first/2, recorder.step) })
}

// kill ends a node, which loses what it knew.
func (s *faultySystem) kill(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lives[i] != nil {
		s.lives[i].end()
		s.lives[i] = nil
	}
}

// every calls a function until the node ends, later while it stands still.
func (l *life) every(interval, first time.Duration, do func(context.Context)) {
	for wait := first; sleepFor(l.ctx, wait); wait = interval {
		l.awaitThaw()
		if l.ctx.Err() == nil {
			do(l.ctx)
		}
	}
}

// read reads the registry and the records.
func (l *life) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt, confirmed := time.Now(), l.observer.lastConfirmed()
	if listed, err := l.store.readRegistry(ctx); err == nil {
		now := time.Now()
		l.observer.RecordRead(sentAt, now.Sub(confirmed), now)
		for release := range listed {
			l.observer.Set("endpoint-"+release, Origin{service, release}, now)
		}
		for release := range l.known {
			if !listed[release] {
				l.observer.Remove("endpoint-"+release, now)
			}
		}
		l.known = listed
	}
	sentAt = time.Now()
	if page, err := l.store.Newest(ctx); err == nil {
		batch := &follow.Batch{Snapshot: true, Records: page.Records, ConfirmedAt: sentAt, Next: page.Next}
		l.copy.Apply(batch, func(_ *follow.Record, err error) { panic(err) })
	}
}

// Handle implements Conn.
func (l *life) Handle(method string, h datagram.Handler) { l.handlers[method] = h }

// peerAt returns the node at an address if it and this one reach others, or nil.
func (l *life) peerAt(addr netip.AddrPort) *life {
	for _, other := range l.system.alive() {
		if other.peer.Addr == addr && !other.cutFromNodes.Load() && !l.cutFromNodes.Load() && l.ctx.Err() == nil {
			return other
		}
	}
	return nil
}

// isIsolated reports whether the node hears of no other one.
func (l *life) isIsolated() bool {
	return !slices.ContainsFunc(l.system.peers, func(p Peer) bool { return p != l.peer && l.peerAt(p.Addr) != nil })
}

// openLog returns the node's access to the log of streams.
func (l *life) openLog() *StreamLog {
	return NewStreamLog(StreamLogConfig{
		Log: reachedLog{&l.system.logged, l}, IsShared: l.gate.IsShared, Nodes: func() int { return len(l.system.peers) },
		Spacing: func() time.Duration { return 0 }, Retention: func() time.Duration { return l.system.retention }, Now: time.Now, Logger: zerolog.Nop(),
	})
}

// reachedLog is the log of streams as a node reaches it.
type reachedLog struct {
	log  *memoryLog
	life *life
}

func (r reachedLog) Append(ctx context.Context, data []byte) (int64, error) {
	if r.life.cutFromStore.Load() {
		return 0, errStoreDown
	}
	return r.log.Append(ctx, data)
}

func (r reachedLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	if r.life.cutFromStore.Load() {
		return nil, 0, errStoreDown
	}
	return r.log.Read(ctx, from, limit)
}

func (r reachedLog) Tail(ctx context.Context, count int64) (int64, error) {
	if r.life.cutFromStore.Load() {
		return 0, errStoreDown
	}
	return r.log.Tail(ctx, count)
}

// send delivers an encoded message, once the receiver runs, and returns its encoded response; nil if it is lost.
func (l *life) send(to netip.AddrPort, method string, message []byte) []byte {
	other := l.peerAt(to)
	if other == nil {
		return nil
	}
	other.awaitThaw()
	if other.ctx.Err() != nil {
		return nil
	}
	response, err := other.handlers[method](message)
	if err != nil {
		panic(err) // the messages are valid
	}
	return encode(response)
}

// Notify implements Conn.
func (l *life) Notify(peers []netip.AddrPort, method string, params any) int {
	message := encode(params)
	l.system.tasks.Go(func() {
		for _, to := range peers {
			l.send(to, method, message)
		}
	})
	return 0
}

// Call implements Conn. A response that is late is lost.
func (l *life) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	responses := make(chan []byte, 1)
	message := encode(params)
	l.system.tasks.Go(func() {
		if response := l.send(to, method, message); response != nil {
			responses <- response
		}
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case response := <-responses:
		return json.Unmarshal(response, result)
	}
}
