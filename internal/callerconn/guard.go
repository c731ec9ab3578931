package callerconn

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/loglimit"
)

const (
	// defaultStallTime is the time after which an answer of which the caller takes nothing is broken off.
	defaultStallTime = 10 * time.Second
	// minStall is how long a caller must have taken nothing for its connection to give way to a new one.
	minStall = time.Second
	// lingerTime and maxLingerBytes bound the reading of what a caller still sends whose head was refused.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Limits are the bounds of a Guard.
type Limits struct {
	Connections               int // open at the same time; as many more may wait to be accepted
	ReceiveBuffer, SendBuffer int // sizes of each connection's socket buffers, in bytes
	// HeadBytes returns the number of bytes that a request's head may have now.
	HeadBytes func() int
	// StallTime is the time after which an answer is broken off of which the caller takes nothing; 0 means 10 s.
	StallTime time.Duration
}

// refusal is a reason to answer a head that was not read to its end.
type refusal int

const (
	refuseNothing refusal = iota
	refuseTooLarge
	refuseNoRoom
	refusalCount
)

// Refusals are complete responses, from the status line to the body, that announce the end of the connection.
type Refusals struct {
	TooLarge []byte // the head exceeds the limit
	NoRoom   []byte // the node has no memory for the head now; the request has not run
}

// Pools hold memory that guards may share.
type Pools struct {
	Heads   *hostplan.Pool // for what heads take beyond the size of ordinary ones
	Windows *hostplan.Pool // for larger socket buffers
}

// Guard bounds the connections of a listener. It is safe for concurrent use.
type Guard struct {
	limits   Limits
	pools    Pools
	refusals [refusalCount][]byte
	log      zerolog.Logger

	mu      sync.Mutex
	ended   sync.Cond // signaled when open or closed changes
	open    int       // connections that take resources, also those that were told to end and have not yet
	ending  int       // connections that were told to end and have not yet
	closed  bool      // the listener was closed
	noIdle  bool      // connections end when they become idle
	waiting list.List // of *Conn without a complete request, the one that has been for longest first
	serving list.List // of *Conn whose request is being served

	refused [refusalCount]atomic.Int64
	yielded atomic.Int64 // connections closed for a new one
	denied  atomic.Int64 // new connections closed as requests are served on all
}

// element is a connection's place in one of the guard's lists; zero once it was removed.
type element struct {
	at     *list.Element
	within *list.List
}

// New returns a Guard.
func New(limits Limits, pools Pools, refusals Refusals, log zerolog.Logger) *Guard {
	limits.StallTime = cmp.Or(limits.StallTime, defaultStallTime)
	g := &Guard{limits: limits, pools: pools, log: loglimit.Bound(log)}
	g.ended.L = &g.mu
	g.refusals = [refusalCount][]byte{refuseTooLarge: refusals.TooLarge, refuseNoRoom: refusals.NoRoom}
	return g
}

// Attach makes a server follow the guard: call it before the server serves the guard's listener.
func (g *Guard) Attach(s *http.Server) {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Counts are numbers of decisions since the start.
type Counts struct {
	TooLarge, NoRoom int64 // refused heads
	Yielded          int64 // connections that were closed for a new one
	Denied           int64 // new connections that were closed at once
}

// Counts returns the numbers of decisions since the start.
func (g *Guard) Counts() Counts {
	return Counts{g.refused[refuseTooLarge].Load(), g.refused[refuseNoRoom].Load(), g.yielded.Load(), g.denied.Load()}
}

// admit returns the connection for a new one of the listener, or nil if it has to be closed. At the limit it waits until
// a connection has ended, which those that give way do at once.
func (g *Guard) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, memory: hostplan.Reservation{Pool: g.pools.Heads}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.limits.Connections && !g.closed {
		if g.ending == 0 && !g.yield() {
			g.denied.Add(1)
			g.log.Warn().Str("event", "connection_denied").Str("caller", raw.RemoteAddr().String()).Int("limit", g.limits.Connections).Send()
			return nil
		}
		g.ended.Wait()
	}
	if g.closed {
		return nil
	}
	g.open++
	c.place = element{g.waiting.PushBack(c), &g.waiting}
	return c
}

// yield tells a connection to end, and reports whether there is one that may. The mutex must be held.
func (g *Guard) yield() bool {
	victim := g.victim()
	if victim == nil {
		return false
	}
	victim.yielded = true
	g.ending++
	g.yielded.Add(1)
	g.log.Warn().Str("event", "connection_yields").Str("caller", victim.RemoteAddr().String()).Int("limit", g.limits.Connections).Send()
	victim.end()
	return true
}

// CloseIdle closes the connections between two requests, and each other one once its answer is sent. A request that
// crosses that is not served.
func (g *Guard) CloseIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noIdle = true
	for e := g.waiting.Front(); e != nil; {
		c := e.Value.(*Conn)
		e = e.Next()
		if c.idle {
			c.end()
		}
	}
}

// victim returns the connection that gives way to a new one, if any.
func (g *Guard) victim() *Conn {
	if first := g.waiting.Front(); first != nil {
		return first.Value.(*Conn)
	}
	return g.mostStalled()
}

// mostStalled returns the connection whose caller has taken nothing for longest, if that is longer than minStall.
func (g *Guard) mostStalled() (victim *Conn) {
	since := time.Now().Add(-minStall).UnixNano()
	for e := g.serving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if at := c.stalledSince.Load(); at != 0 && at < since {
			victim, since = c, at
		}
	}
	return victim
}

// await puts a connection on which a head begins last among those without a complete request.
func (g *Guard) await(c *Conn) { g.move(c, &g.waiting, false) }

// rest puts a connection whose answer was sent last among those without a complete request.
func (g *Guard) rest(c *Conn) { g.move(c, &g.waiting, true) }

// serve puts a connection among those whose request is being served. It reports false if the connection was told to
// end: nobody would get the answer.
func (g *Guard) serve(c *Conn) bool { return g.move(c, &g.serving, false) }

// remove forgets a connection whose goroutine ends.
func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.leave()
	c.ended = true
	g.open--
	if c.yielded {
		g.ending--
	}
	g.ended.Broadcast()
}

// close has no more connections admitted.
func (g *Guard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.ended.Broadcast()
}

// move puts a connection last in one of the lists. It reports false if the connection was told to end.
func (g *Guard) move(c *Conn, to *list.List, idle bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.leave()
	if c.told || c.ended {
		return false
	}
	c.place, c.idle = element{to.PushBack(c), to}, idle
	if idle && g.noIdle {
		c.end()
	}
	return !c.told
}

// countRefusal counts and logs a refused head.
func (g *Guard) countRefusal(why refusal, c *Conn) {
	g.refused[why].Add(1)
	event := "head_too_large"
	if why == refuseNoRoom {
		event = "head_without_room"
	}
	g.log.Warn().Str("event", event).Str("caller", c.RemoteAddr().String()).
		Int("bytes", c.head.Bytes).Int("lines", c.head.Lines).Int("limit", g.limits.HeadBytes()).Int64("pool_used", g.pools.Heads.Used()).Send()
}
