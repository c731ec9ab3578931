package origin

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/datagram"
)

const (
	// resendDelay is the time until records are sent a second time, because messages may be lost.
	resendDelay = 100 * time.Millisecond
	// maxResends bounds the records that wait to be sent a second time.
	maxResends = 1024
	// callTimeout is the time that a home has to answer, and calls the number of times that it is asked.
	// A round trip between failure domains takes a few ms.
	callTimeout = 50 * time.Millisecond
	calls       = 2
	// settleTime is the time from the first list of nodes until the list counts as complete: nodes that
	// start at the same time learn of one another with a delay.
	settleTime = 3 * time.Second
)

// Conn carries messages between nodes. It does not retransmit them.
type Conn interface {
	// Handle registers the handler of a method. It must be called before messages arrive.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer, and returns the total number of bytes sent.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
	// Call calls a method of a peer and decodes the response into result.
	Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error
}

// Config holds the dependencies of a Service. All fields must be set.
type Config struct {
	Conn Conn
	// Retention returns the longest time between the first event of a stream and the last request of its
	// caller that resumes it.
	Retention func() time.Duration
	// Sole returns the release that alone can have begun streams of a service that are resumed now, or empty. It
	// fails if that can't be found out now.
	Sole func(ctx context.Context, service string) (release string, err error)
	// Releases is this node's copy of the records of releases.
	Releases *Releases
	// Streams keeps the origins of streams for the case that all nodes are lost.
	Streams *StreamLog
	// Self is this node, as the others list it.
	Self Peer
	// WasListed reports whether the others listed it before it started.
	WasListed func() bool
	Now       func() time.Time
	Log       zerolog.Logger
}

// Service shares the origins of streams with the other nodes. It is safe for concurrent use.
type Service struct {
	config Config
	table  *Table
	// finding is the number of calls of Find that ask other nodes.
	finding atomic.Int64
	// copied is true once the records of others were copied.
	copied atomic.Bool

	mu       sync.Mutex
	listedAt time.Time // when the first list of nodes came; zero before
	peers    []Peer    // sorted by name
	homes    *homes
	resends  []record // sent once, in the order in which they were
	asked    int      // number of questions for releases
}

// New returns a service that receives messages once c.Conn runs.
func New(c Config) *Service {
	s := &Service{config: c, table: NewTable(c.Now, c.Retention), homes: newHomes(nil)}
	c.Streams.found = s.addAll
	c.Conn.Handle(recordsMethod, s.handleRecords)
	c.Conn.Handle(findMethod, s.handleFind)
	c.Conn.Handle(copyMethod, s.handleCopy)
	c.Conn.Handle(releasesMethod, s.handleReleases)
	return s
}

// SetPeers replaces the list of the other nodes.
func (s *Service) SetPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
	if !slices.Equal(peers, s.peers) {
		s.peers, s.homes = peers, newHomes(peers)
	}
}

// isSettled reports whether the list of the other nodes counts as complete. s.mu is held.
func (s *Service) isSettled() bool {
	return !s.listedAt.IsZero() && s.config.Now().Sub(s.listedAt) >= settleTime
}

// Len returns the number of records at this node.
func (s *Service) Len() int { return s.table.Len() }

// Record records the origin of a stream here and at its homes. It must be called before the caller gets the
// stream's first event. It does not block.
func (s *Service) Record(k Key, o Origin) {
	if !o.valid() {
		return
	}
	s.table.Add(k, o)
	r := record{Key: k, Origin: o}
	s.config.Streams.add(r)
	s.mu.Lock()
	homes := s.homes
	if len(s.resends) < maxResends {
		s.resends = append(s.resends, r)
	}
	s.mu.Unlock()
	s.config.Conn.Notify(homes.of(k, copies), recordsMethod, recordsMessage{[]record{r}})
}

// Run copies the records of other nodes, sends new ones a second time, and writes them to the platform's store while
// several releases serve, until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.copyRecords(ctx) })
	tasks.Go(func() { s.config.Streams.run(ctx) })
	defer tasks.Wait()
	ticker := time.NewTicker(resendDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.resend()
		}
	}
}

// resend sends the records that were sent once since the last call, in one message to each home. Records
// wait for the first node that can be a home.
func (s *Service) resend() {
	s.mu.Lock()
	if len(s.peers) == 0 {
		s.mu.Unlock()
		return
	}
	records, homes := s.resends, s.homes
	s.resends = nil
	s.mu.Unlock()
	byHome := make(map[netip.AddrPort][]record)
	for _, r := range records {
		for _, home := range homes.of(r.Key, copies) {
			byHome[home] = append(byHome[home], r)
		}
	}
	for home, list := range byHome {
		for chunk := range slices.Chunk(list, maxMessageRecords) {
			s.config.Conn.Notify([]netip.AddrPort{home}, recordsMethod, recordsMessage{chunk})
		}
	}
}

// handleRecords stores records of another node.
func (s *Service) handleRecords(params json.RawMessage) (any, error) {
	records, err := decodeRecords(params)
	if err != nil {
		return nil, err
	}
	s.addAll(records)
	return nil, nil
}

// addAll adds records of other nodes to the table.
func (s *Service) addAll(records []record) {
	for _, r := range records {
		s.table.Add(r.Key, r.Origin)
	}
}

// call calls a method of another node, which has callTimeout to answer.
func (s *Service) call(ctx context.Context, node netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Conn.Call(ctx, node, method, params, result)
}

// handleFind answers another node's question.
func (s *Service) handleFind(params json.RawMessage) (any, error) {
	var q findRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode a question for a stream")
	}
	if o, ok := s.table.Find(q.Key); ok {
		return findResponse{Origin: &o}, nil
	}
	return findResponse{}, nil
}
