package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// method is the name of the call. It may be repeated. A node of a build that doesn't know of cut
	// answers must not be answered, as it would take one for whole.
	method = "node.records"
	// askTimeout bounds a question to a node, which is a ms away. A small host that is
	// busy answers within some ten ms.
	askTimeout = 150 * time.Millisecond
	// MaxAge is the oldest copy that is believed, unless Topic says otherwise: twice the wait of a
	// read of the store, which its age is on a calm day, with a margin. An older one has lost the
	// store.
	MaxAge = 2500 * time.Millisecond
)

const (
	// answerBytes bounds the records of one answer, with room for what is around them.
	answerBytes = datagram.MaxBytes - 1<<10
	// mostAnswers bounds the answers to one read, far beyond what changes between two.
	mostAnswers = 32
)

// errOld is returned for a copy that is older than MaxAge.
var errOld = errors.New("relay: the copy is too old")

// question asks for what changed in a topic from an offset on.
type question struct {
	Topic string `json:"topic"`
	From  int64  `json:"from"`
}

// answer is what changed.
type answer struct {
	Records []toldRecord `json:"records,omitempty"`
	Next    int64        `json:"next"`
	AgeUS   int64        `json:"age_us"` // microseconds
	// More is true where there are more records, from Next on. Such an answer proves nothing: the
	// last one does, for all.
	More bool `json:"more,omitempty"`
}

// Relay answers other nodes' questions for this node's copies.
type Relay struct {
	conn   *datagram.Conn
	copies map[string]*Copy
}

// New returns a relay that answers at a connection that doesn't run yet.
func New(conn *datagram.Conn) *Relay {
	r := &Relay{conn: conn, copies: make(map[string]*Copy)}
	conn.Handle(method, r.serve)
	return r
}

// Serve answers questions for a topic from a copy. It must be called before the
// connection runs.
func (r *Relay) Serve(topic string, c *Copy) { r.copies[topic] = c }

func (r *Relay) serve(params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode a question")
	}
	c := r.copies[q.Topic]
	if c == nil {
		return nil, eris.Errorf("unknown topic %q", q.Topic)
	}
	p, err := c.Since(q.From, answerBytes)
	if err != nil {
		return nil, err
	}
	return answer{Records: p.records, Next: p.next, AgeUS: p.age.Microseconds(), More: p.more}, nil
}

// Topic is a topic that is read from other nodes' copies where there are any, from the
// store else or if they fail, and from backups' copies if the store fails, too.
type Topic struct {
	Name  string
	Store follow.Topic
	Relay *Relay
	// Readers are the nodes that read the store. None means that this node does.
	Readers func() []netip.AddrPort
	// Backups are nodes that read the store themselves. One is asked where the store does
	// not answer this node: it may serve others.
	Backups func() []netip.AddrPort
	// Fallback returns the time between two reads of the store that fail, at a node whose
	// reader tells that its own copy is old: it will tell when the store is back. Nil means
	// none.
	Fallback func() time.Duration
	// MaxAge is the oldest copy that is believed where reads wait longer; 0 for the package's.
	MaxAge time.Duration
	Log    zerolog.Logger

	turn    int       // the reader or backup that is asked
	failed  time.Time // when the store failed last
	relayed atomic.Bool
}

var _ follow.Topic = (*Topic)(nil)

// Newest implements follow.Topic. A first read is the store's: it is long.
func (t *Topic) Newest(ctx context.Context) (follow.Page, error) { return t.Store.Newest(ctx) }

// Read implements follow.Topic.
func (t *Topic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	readers := t.Readers()
	if len(readers) > 0 {
		page, err := t.askNext(ctx, readers, from)
		t.note(err == nil, err)
		if err == nil {
			return page, nil
		}
		if errors.Is(err, errOld) && t.Fallback != nil && time.Since(t.failed) < t.Fallback() {
			return t.readBackup(ctx, from, err)
		}
	}
	page, err := t.Store.Read(ctx, from, wait)
	if err == nil || errors.Is(err, follow.ErrCompacted) {
		t.note(false, nil)
		return page, err
	}
	t.failed = time.Now()
	return t.readBackup(ctx, from, err)
}

// readBackup reads from a node that may reach the store, after this one failed with cause.
// Without one the cause stands.
func (t *Topic) readBackup(ctx context.Context, from int64, cause error) (follow.Page, error) {
	backups := t.Backups()
	if len(backups) == 0 {
		t.note(false, cause)
		return follow.Page{}, cause
	}
	page, err := t.askNext(ctx, backups, from)
	t.note(err == nil, cause)
	if err != nil {
		return follow.Page{}, cause
	}
	return page, nil
}

// askNext asks the node whose turn it is, and leaves the next question to another one where
// it fails.
func (t *Topic) askNext(ctx context.Context, nodes []netip.AddrPort, from int64) (follow.Page, error) {
	page, err := t.ask(ctx, nodes[t.turn%len(nodes)], from)
	if err != nil {
		t.turn++
	}
	return page, err
}

// Relayed reports whether the newest read was answered by another node.
func (t *Topic) Relayed() bool { return t.relayed.Load() }

// maxAge returns the oldest copy that is believed.
func (t *Topic) maxAge() time.Duration {
	if t.MaxAge > 0 {
		return t.MaxAge
	}
	return MaxAge
}

// note logs where the topic is read from, when that changes.
func (t *Topic) note(relayed bool, cause error) {
	if t.relayed.Swap(relayed) != relayed {
		t.Log.Info().Str("event", "topic_source").Str("topic", t.Name).Bool("relayed", relayed).AnErr("cause", cause).Send()
	}
}

// ask asks one node, as often as its answers are cut.
//
// A long answer comes in several, as at a common start of a large system each node would ask the store for
// it else.
func (t *Topic) ask(ctx context.Context, reader netip.AddrPort, from int64) (follow.Page, error) {
	var whole follow.Page
	for range mostAnswers {
		page, more, err := t.askOnce(ctx, reader, from)
		if err != nil {
			return follow.Page{}, err
		}
		whole = follow.Page{Records: append(whole.Records, page.Records...), Next: page.Next, Age: page.Age}
		if !more {
			return whole, nil
		}
		from = page.Next
	}
	return follow.Page{}, eris.Wrapf(ErrUnknown, "more than %d answers", mostAnswers)
}

func (t *Topic) askOnce(ctx context.Context, reader netip.AddrPort, from int64) (page follow.Page, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a answer
	err = t.Relay.conn.Call(ctx, reader, method, question{Topic: t.Name, From: from}, &a)
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		// It is there, but can't tell, as after the topic was compacted, or where a record is
		// too long for a message: only the store can.
		return follow.Page{}, false, eris.Wrap(ErrUnknown, refused.Message)
	}
	if err != nil {
		return follow.Page{}, false, err
	}
	page, err = a.page(from, t.maxAge())
	return page, a.More, err
}

// page returns what an answer to a question from an offset on tells. What can't be an answer is
// refused: an age before the question or beyond the range of durations would make the copy
// fresher than it is, and offsets out of range would have records passed over.
func (a *answer) page(from int64, most time.Duration) (follow.Page, error) {
	if a.AgeUS < 0 || a.Next < 0 || a.More && a.Next <= from {
		return follow.Page{}, eris.Errorf("an answer of age %d µs up to offset %d", a.AgeUS, a.Next)
	}
	if a.AgeUS >= most.Microseconds() {
		return follow.Page{}, eris.Wrapf(errOld, "%d µs", a.AgeUS)
	}
	page := follow.Page{Next: a.Next, Age: time.Duration(a.AgeUS+1) * time.Microsecond}
	for i := range a.Records {
		if offset := a.Records[i].Offset; offset < from || offset >= a.Next {
			return follow.Page{}, eris.Errorf("a record at offset %d from %d to %d", offset, from, a.Next)
		}
		whole, err := a.Records[i].whole()
		if err != nil {
			return follow.Page{}, err
		}
		page.Records = append(page.Records, whole)
	}
	return page, nil
}
