package origin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// maxWaiting bounds the records that a node keeps to be logged. The oldest are dropped.
	maxWaiting = 4096
	// maxLogRecord bounds the streams of one record of the log, so that it fits into what the store accepts.
	maxLogRecord = 4096
	// maxLogWrites is the maximum number of writes to the log per second by all nodes together, and minLogInterval the
	// shortest time between two writes of one node.
	maxLogWrites   = 100
	minLogInterval = 500 * time.Millisecond
	// logTimeout bounds a write, and the reads that a caller waits for. What they have read is kept.
	logTimeout = time.Second
	// maxWallSkew is the difference between the wall clocks of two nodes up to which no stream is taken for older than
	// it is.
	maxWallSkew = 10 * time.Second
)

// Log is a log in the platform's store.
type Log interface {
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns records from an offset on, and the offset after them. It continues at the first retained record.
	Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error)
	// Tail returns the offset of the first of the newest records, at most count.
	Tail(ctx context.Context, count int64) (offset int64, err error)
}

// StreamLogConfig holds the dependencies of a StreamLog. All fields must be set.
type StreamLogConfig struct {
	Log Log
	// IsShared reports whether streams of a service can have begun at several releases.
	IsShared func(service string) bool
	// Nodes returns the number of nodes.
	Nodes func() int
	// Spacing returns the least time between two reads.
	Spacing func() time.Duration
	// Retention is that of the origins of streams.
	Retention func() time.Duration
	Now       func() time.Time
	Logger    zerolog.Logger
}

// StreamLog keeps the origins of streams in the platform's store while several releases of their service can have begun
// them, so that callers can resume them after the loss of all nodes. While one release is alone nothing is written: Gate
// knows it. Each node writes those of the streams that it began, in batches, so the newest are lost with it. It is safe for
// concurrent use.
type StreamLog struct {
	config    StreamLogConfig
	confirmer confirmer

	mu      sync.Mutex
	waiting []waitingRecord // not written, in the order in which they began
	// next is the offset of the next read, or unread.
	next int64
	// found receives the records that are read.
	found func([]record)
}

// unread is the offset of a StreamLog that has read nothing.
const unread = -1

// waitingRecord is a record that is not in the log.
type waitingRecord struct {
	record
	addedAt time.Time
}

// logEntry is a record of the log.
type logEntry struct {
	AtMS    int64           `json:"at_ms"` // when it was written, by the wall clock of the node
	Streams []loggedStreams `json:"streams"`
}

// loggedStreams is a part of a record of the log: streams that began at one release.
type loggedStreams struct {
	Origin
	Keys []Key `json:"keys"`
}

// NewStreamLog returns a log that has not been read.
func NewStreamLog(c StreamLogConfig) *StreamLog {
	l := &StreamLog{config: c, next: unread}
	l.confirmer = confirmer{read: l.read, spacing: c.Spacing, now: c.Now, timeout: logTimeout}
	return l
}

// add has a stream that this node began written.
func (l *StreamLog) add(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if excess := len(l.waiting) - maxWaiting; excess >= 0 {
		l.waiting = slices.Delete(l.waiting, 0, excess+maxWaiting/2)
	}
	l.waiting = append(l.waiting, waitingRecord{r, l.config.Now()})
}

// run writes streams until ctx is done.
func (l *StreamLog) run(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, l.interval())
		l.write(ctx)
	}
	l.write(context.WithoutCancel(ctx))
}

// interval returns the time between two writes of this node.
func (l *StreamLog) interval() time.Duration {
	return max(minLogInterval, time.Duration(l.config.Nodes())*time.Second/maxLogWrites)
}

// write writes the streams that are to be in the log and aren't. It keeps those that it could not write.
func (l *StreamLog) write(ctx context.Context) {
	due := l.takeDue()
	for chunk := range slices.Chunk(due, maxLogRecord) {
		if err := l.append(ctx, chunk); err != nil {
			l.config.Logger.Warn().Str("event", "streams_unlogged").Int("streams", len(chunk)).Err(err).Send()
			l.mu.Lock()
			l.waiting = append(slices.Clone(chunk), l.waiting...)
			l.mu.Unlock()
		}
	}
}

// takeDue removes and returns the streams to write. It drops those that can't be resumed any more.
func (l *StreamLog) takeDue() (due []waitingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, shared := l.config.Now().Add(-l.config.Retention()), make(map[string]bool)
	kept := l.waiting[:0]
	for _, r := range l.waiting {
		isShared, known := shared[r.Service]
		if !known {
			isShared = l.config.IsShared(r.Service)
			shared[r.Service] = isShared
		}
		switch {
		case r.addedAt.Before(since):
		case isShared:
			due = append(due, r)
		default:
			kept = append(kept, r)
		}
	}
	l.waiting = kept
	return due
}

// append writes streams as one record.
func (l *StreamLog) append(ctx context.Context, streams []waitingRecord) error {
	byOrigin := make(map[Origin][]Key)
	for _, r := range streams {
		byOrigin[r.Origin] = append(byOrigin[r.Origin], r.Key)
	}
	groups := make([]loggedStreams, 0, len(byOrigin))
	for o, keys := range byOrigin {
		groups = append(groups, loggedStreams{o, keys})
	}
	data, err := json.Marshal(logEntry{l.config.Now().UnixMilli(), groups})
	if err != nil {
		return eris.Wrap(err, "encode origins of streams")
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err = l.config.Log.Append(ctx, data)
	return eris.Wrap(err, "write origins of streams")
}

// load reads what others wrote, with reads that are sent after the call.
func (l *StreamLog) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.Spacing()+logTimeout)
	defer cancel()
	return l.confirmer.confirm(ctx)
}

// read reads the records since the last read, or those of streams that can still be resumed.
func (l *StreamLog) read(ctx context.Context) (err error) {
	l.mu.Lock()
	next := l.next
	l.mu.Unlock()
	if next == unread {
		if next, err = l.config.Log.Tail(ctx, int64(l.config.Retention().Seconds()*maxLogWrites)); err != nil {
			return eris.Wrap(err, "find the origins of streams")
		}
	}
	for {
		records, after, err := l.config.Log.Read(ctx, next, 0)
		if err != nil {
			return eris.Wrap(err, "read origins of streams")
		}
		for i := range records {
			l.found(l.decode(&records[i]))
		}
		l.mu.Lock()
		l.next = after
		l.mu.Unlock()
		if len(records) == 0 {
			return nil
		}
		next = after
	}
}

// decode returns the streams of a record. Those that are invalid, or can't be resumed any more, are left out.
func (l *StreamLog) decode(r *claim.Record) (list []record) {
	var entry logEntry
	if err := json.Unmarshal(r.Data, &entry); err != nil {
		l.config.Logger.Warn().Str("event", "streams_unreadable").Int64("offset", r.Offset).Err(err).Send()
		return nil
	}
	if l.config.Now().Sub(time.UnixMilli(entry.AtMS)) > l.config.Retention()+maxWallSkew {
		return nil
	}
	for _, g := range entry.Streams {
		for _, k := range g.Keys {
			if k != (Key{}) && g.valid() {
				list = append(list, record{k, g.Origin})
			}
		}
	}
	return list
}
