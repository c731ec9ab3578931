// Package logtest provides an in-memory log with fault injection, for tests of
// packages that use changelog.Log. It is not durable.
package logtest

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/changelog"
)

var _ changelog.Log = (*Log)(nil)

// Errors of injected faults.
var (
	ErrDown         = errors.New("log is unavailable")
	ErrResponseLost = errors.New("append response was lost")
)

// Log is an in-memory log. The zero value is an empty log without faults. It is
// safe for concurrent use.
type Log struct {
	// Delay is the duration of each call. Set it before use.
	Delay time.Duration

	mu              sync.Mutex
	records         []changelog.Record
	next            int64
	first           int64
	down            bool
	responsesToLose int
	lag             int64
	reads           int
	appends         int
	readBytes       int
	writeBytes      int
}

// SetDown starts or ends an outage, during which all calls return ErrDown without
// effect.
func (l *Log) SetDown(down bool) { l.withLock(func() { l.down = down }) }

// LoseResponses makes the next n appends add their records but return
// ErrResponseLost.
func (l *Log) LoseResponses(n int) { l.withLock(func() { l.responsesToLose = n }) }

// SetLag hides the newest n offsets from reads, like a lagging replica.
func (l *Log) SetLag(n int64) { l.withLock(func() { l.lag = n }) }

// Retain drops all records except those at the newest n offsets.
func (l *Log) Retain(n int64) {
	l.withLock(func() {
		l.first = max(l.first, l.next-n, 1)
		i := l.indexOf(l.first)
		l.records = slices.Clone(l.records[i:])
	})
}

// Traffic counts the calls to the log and the bytes of the records in them.
type Traffic struct {
	Reads, Appends        int
	ReadBytes, WriteBytes int
}

// Traffic returns the counts since the log was created.
func (l *Log) Traffic() (t Traffic) {
	l.withLock(func() { t = Traffic{l.reads, l.appends, l.readBytes, l.writeBytes} })
	return t
}

// Records returns all retained records.
func (l *Log) Records() (all []changelog.Record) {
	l.withLock(func() { all = slices.Clone(l.records) })
	return all
}

// Append implements changelog.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, ErrDown
	}
	offset := max(l.next, 1)
	l.records = append(l.records, changelog.Record{Offset: offset, Data: slices.Clone(data)})
	l.next = offset + 1
	l.writeBytes += len(data)
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, ErrResponseLost
	}
	return offset, nil
}

// Read implements changelog.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	if err := l.delay(ctx); err != nil {
		return changelog.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return changelog.Batch{}, ErrDown
	}
	b := changelog.Batch{First: max(l.first, 1), Next: max(l.next-l.lag, 1)}
	for _, r := range l.records[l.indexOf(from):] {
		if r.Offset >= b.Next || len(b.Records) == limit {
			break
		}
		b.Records = append(b.Records, r)
		l.readBytes += len(r.Data)
	}
	return b, nil
}

// indexOf returns the index of the first record at or above an offset.
func (l *Log) indexOf(offset int64) int {
	return sort.Search(len(l.records), func(i int) bool { return l.records[i].Offset >= offset })
}

func (l *Log) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *Log) delay(ctx context.Context) error {
	if l.Delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(l.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
