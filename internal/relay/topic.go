package relay

import (
	"cmp"
	"context"
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
	// methodRecords is the name of the method. Calls may be repeated. The name must change whenever the
	// response format becomes incompatible: a node that does not support partial responses would treat
	// one as complete.
	methodRecords = "node.records"
	// defaultRequestTimeout is the timeout of a request to a node. The network delay is about 1 ms, and a
	// small host under load responds within a few tens of ms.
	defaultRequestTimeout = 150 * time.Millisecond
	// MaxAge is the default maximum age of a copy that is used. It is twice the wait time of a read of
	// the store, which is the normal age of a copy, plus a margin. A copy is older if its node has lost the
	// connection to the store.
	MaxAge = 2500 * time.Millisecond
)

const (
	// maxRecordBytes is the maximum size of the records of one response. It leaves room for the rest of
	// the message.
	maxRecordBytes = datagram.MaxBytes - 1<<10
	// maxResponses is the maximum number of responses for one read. The changes between two reads need far
	// fewer.
	maxResponses = 32
	// maxChangeResponses replaces maxResponses for topics of which all records can be obtained from
	// another node in compressed form, which takes less than as many responses.
	maxChangeResponses = 8
)

// errNoReader is returned while this node waits for a reader instead of reading the store.
var errNoReader = errors.New("relay: no reader has the topic yet")

// errStale is returned for a copy that is older than the topic's maximum age.
var errStale = errors.New("relay: copy is too old")

// Topic is a topic that is read from other nodes' copies if there are any. If there are none or they
// fail, it is read from the store, and if the store fails too, from backups' copies.
type Topic struct {
	Name  string
	Store follow.Topic
	Relay *Relay
	// Own is this node's copy, to which the records are applied. Readers then tell it what changed in its
	// long records. If nil, they send them whole.
	Own *Copy
	// Readers returns the nodes that read the store. If it returns none, this node reads the store.
	Readers func() []netip.AddrPort
	// Preference determines which reader or backup is used first. Nodes with different values spread
	// over them.
	Preference uint64
	// Backups returns nodes that read the store themselves. They may still reach the store when this node
	// does not.
	Backups func() []netip.AddrPort
	// Fallback returns the minimum time after a failed read of the store before the store is read again
	// while the reader's copy is too old. That copy becomes current again when the store is available. If
	// nil, the store is read each time.
	Fallback func() time.Duration
	// MaxAge is the maximum age of a copy that is used, for topics whose reads wait longer. 0 means the
	// package's MaxAge.
	MaxAge time.Duration
	// MayReadAll reports whether this node may read the store if no reader responds. Until then it waits for
	// a reader. Nil means that it always may, and that all records are always read from the store.
	MayReadAll func() bool
	// Candidates returns the nodes from which all records are read while Readers returns none, as at a start.
	Candidates func() []netip.AddrPort
	// Standbys returns the nodes that read the store in place of readers whose copies are too old. They are
	// asked if SparesStore.
	Standbys func() []netip.AddrPort
	// SparesStore reports whether this node reads the store only if neither readers nor standbys nor backups
	// have the topic: hundreds of nodes that all read it would use up its rate, which the readers need. Nil
	// means that it reads the store as soon as its readers' copies are too old.
	SparesStore func() bool
	// Eras are the known eras of the store. Copies of earlier ones are not used. Nil means that the store never
	// comes back from an older copy.
	Eras *follow.Eras
	// NeverForStale is set if copies that are too old are no reason to read the store, unless the node is one
	// that doesn't spare it.
	NeverForStale bool
	// RequestTimeout is the timeout of a request to a node. 0 means defaultRequestTimeout.
	RequestTimeout time.Duration
	// OnRead, if not nil, is called after each read from the store or a node.
	OnRead func(Read)
	Log    zerolog.Logger

	failures      uint64    // failed reads from readers or backups, each of which moves on to the next
	storeFailedAt time.Time // time of the last failed read of the store
	relayed       atomic.Bool
	reads         readLog
	silent        silentNodes
	compactedAt   time.Time // when the store last had no changes since an offset; zero if it always had
	// requestWhole is true if the next request must not state which long records this node has: what
	// changed in one could not be decoded.
	requestWhole bool
}

var _ follow.Topic = (*Topic)(nil)

// Read implements follow.Topic. It fails with follow.ErrCompacted if the offset is of an earlier era than the latest
// known one and no reader has this one yet.
func (t *Topic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	if readers := t.silent.without(t.Readers()); len(readers) > 0 {
		page, err := t.readFromReaders(ctx, readers, from)
		if err != nil && t.sparesStore() {
			page, err = t.readFromOthers(ctx, from, err)
		}
		t.setRelayed(err == nil, err)
		if err == nil || errors.Is(err, follow.ErrCompacted) {
			return page, err
		}
		if follow.EraOf(from) < t.era() {
			return follow.Page{}, follow.ErrCompacted
		}
		if errors.Is(err, errStale) && t.leavesStale() {
			return t.readBackup(ctx, from, err)
		}
	}
	if t.MayReadAll != nil && !t.MayReadAll() {
		return follow.Page{}, errNoReader
	}
	page, err := t.readStore(ctx, from, wait)
	if err == nil || errors.Is(err, follow.ErrCompacted) {
		t.setRelayed(false, nil)
		return page, err
	}
	t.storeFailedAt = time.Now()
	return t.readBackup(ctx, from, err)
}

// readFromReaders reads the changes from a reader. Where all records may be obtained from readers, it
// tries each of them, and obtains all records if there are too many changes for a few responses.
func (t *Topic) readFromReaders(ctx context.Context, readers []netip.AddrPort, from int64) (page follow.Page, err error) {
	if t.MayReadAll == nil && !t.sparesStore() {
		return t.readFromCurrent(ctx, follow.SourceReader, readers, from)
	}
	for range readers {
		page, readErr := t.readFromCurrent(ctx, follow.SourceReader, readers, from)
		if readErr == nil {
			return page, nil
		}
		err = moreTelling(err, readErr)
	}
	if errors.Is(err, ErrUnknown) && t.MayReadAll != nil {
		return t.allFromReaders(ctx, from)
	}
	return follow.Page{}, err
}

// preferred returns the reader to use now.
func (t *Topic) preferred(nodes []netip.AddrPort) netip.AddrPort {
	return nodes[(t.Preference+t.failures)%uint64(len(nodes))]
}

// readBackup reads from a backup after this node's read failed with cause. It returns cause if there is no
// backup or the backup fails, and follow.ErrCompacted if the backup lacks changes since the offset.
func (t *Topic) readBackup(ctx context.Context, from int64, cause error) (follow.Page, error) {
	backups := t.Backups()
	if len(backups) == 0 {
		t.setRelayed(false, cause)
		return follow.Page{}, cause
	}
	page, err := t.readFromCurrent(ctx, follow.SourceBackup, backups, from)
	t.setRelayed(err == nil, cause)
	if errors.Is(err, ErrUnknown) && t.MayReadAll != nil {
		return follow.Page{}, follow.ErrCompacted
	}
	if err != nil {
		return follow.Page{}, cause
	}
	return page, nil
}

// readFromCurrent reads from the current node and switches to the next one if the read fails.
func (t *Topic) readFromCurrent(ctx context.Context, kind follow.SourceKind, nodes []netip.AddrPort, from int64) (follow.Page, error) {
	source := follow.Source{Kind: kind, Node: t.preferred(nodes)}
	page, err := t.observe(source, func() (follow.Page, error) { return t.readFrom(ctx, source.Node, from) })
	if err != nil {
		t.failures++
	}
	return page, err
}

// Relayed reports whether the latest read was served by another node.
func (t *Topic) Relayed() bool { return t.relayed.Load() }

// maxAge returns the maximum age of a copy that is used.
func (t *Topic) maxAge() time.Duration { return cmp.Or(t.MaxAge, MaxAge) }

// setRelayed records whether the topic is read from another node and logs changes.
func (t *Topic) setRelayed(relayed bool, cause error) {
	if t.relayed.Swap(relayed) != relayed {
		t.Log.Info().Str("event", "topic_source").Str("topic", t.Name).Bool("relayed", relayed).AnErr("cause", cause).Send()
	}
}

// readFrom reads from one node until a response is complete.
//
// Long results are split over several responses. Otherwise, when all nodes of a large system start at the
// same time, each of them would read such results from the store.
func (t *Topic) readFrom(ctx context.Context, reader netip.AddrPort, from int64) (follow.Page, error) {
	var result follow.Page
	limit := maxResponses
	if t.MayReadAll != nil {
		limit = maxChangeResponses
	}
	for range limit {
		page, more, err := t.readOnce(ctx, reader, from)
		if err != nil {
			return follow.Page{}, err
		}
		result = follow.Page{Records: append(result.Records, page.Records...), Next: page.Next, Age: page.Age, EraAge: page.EraAge}
		if !more {
			return result, nil
		}
		from = page.Next
	}
	return follow.Page{}, eris.Wrapf(ErrUnknown, "result exceeds %d responses", limit)
}

func (t *Topic) readOnce(ctx context.Context, reader netip.AddrPort, from int64) (page follow.Page, more bool, err error) {
	r, err := t.callRecords(ctx, reader, from)
	if err != nil {
		return follow.Page{}, false, err
	}
	if err = t.checkEra(r.Next, r.Outdated, from); err != nil {
		return follow.Page{}, false, err
	}
	if err = r.check(from, t.maxAge()); err != nil {
		return follow.Page{}, false, err
	}
	if err = t.complete(ctx, reader, &r); err != nil {
		return follow.Page{}, false, err
	}
	page, err = r.page()
	return page, r.More, err
}

func (t *Topic) callRecords(ctx context.Context, reader netip.AddrPort, from int64) (r recordsResponse, err error) {
	request := recordsRequest{Topic: t.Name, From: from, Long: true, Held: t.heldRecords()}
	err = t.call(ctx, reader, methodRecords, request, &r)
	var rpcErr *jsonrpc2.Error
	switch {
	case !errors.As(err, &rpcErr):
	case rpcErr.Message == datagram.ErrBusy.Error():
		err = datagram.ErrBusy
	default:
		// The node is available but does not have the records, for example because the topic was
		// compacted, or it is of a build that sends long records in one message only.
		err = eris.Wrap(ErrUnknown, rpcErr.Message)
	}
	return r, err
}
