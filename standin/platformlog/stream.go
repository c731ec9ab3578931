package platformlog

import (
	"context"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cherryward/cherryward/api/wire/logwire"
)

type entry struct {
	data []byte
	at   time.Time
}

// stream is one stream of records. entries[i] has offset first+i.
type stream struct {
	mu      sync.Mutex
	first   int64
	entries []entry
	changed chan struct{}
}

func (s *stream) append(data []byte, now time.Time, cfg Config) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, entry{data: data, at: now})
	s.retain(now, cfg)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.next() - 1
}

func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

// retain deletes the records that exceed the limits of retention.
func (s *stream) retain(now time.Time, cfg Config) {
	drop := 0
	if cfg.KeepRecords > 0 {
		drop = max(0, len(s.entries)-cfg.KeepRecords)
	}
	if cfg.KeepFor > 0 {
		drop = max(drop, s.countUntil(now.Add(-cfg.KeepFor)))
	}
	s.drop(drop)
}

func (s *stream) drop(n int) {
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.first += int64(n)
}

// view is the result of a read.
type view struct {
	answer    logwire.ReadResponse
	changed   <-chan struct{} // closed by the next append
	visibleIn time.Duration   // until the next hidden record becomes visible; 0 if none is hidden
}

// read returns up to limit records from offset from on that are at least as old as lag.
func (s *stream) read(from int64, limit int, lag time.Duration, cfg Config) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.retain(now, cfg)
	countUntil := s.countUntil(now.Add(-lag))
	v := view{changed: s.changed}
	if countUntil < len(s.entries) {
		v.visibleIn = s.entries[countUntil].at.Add(lag).Sub(now)
	}
	v.answer = logwire.ReadResponse{First: s.first, Next: s.first + int64(countUntil)}
	for at := max(from, s.first); at < v.answer.Next && len(v.answer.Records) < limit; at++ {
		data := s.entries[at-s.first].data
		v.answer.Records = append(v.answer.Records, logwire.Record{Offset: at, Data: data})
	}
	return v
}

// countUntil returns the number of entries that were appended at newest or before.
func (s *stream) countUntil(newest time.Time) int {
	return sort.Search(len(s.entries), func(i int) bool { return s.entries[i].at.After(newest) })
}

// streams holds the streams by name.
type streams struct {
	mu     sync.Mutex
	byName map[string]*stream
	closed context.Context
	close  context.CancelFunc
}

func newStreams() *streams {
	s := &streams{byName: make(map[string]*stream)}
	s.closed, s.close = context.WithCancel(context.Background())
	return s
}

// get returns a stream, which it creates on first use.
func (s *streams) get(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byName[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.byName[name] = st
	}
	return st
}

// Retain deletes all records of a stream below offset, as if they had expired.
func (l *Log) Retain(name string, offset int64) {
	s := l.streams.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(max(offset-s.first, 0), int64(len(s.entries)))
	s.drop(int(n))
}

// retainAction calls Retain with the parameters ?stream=NAME&offset=N.
func (l *Log) retainAction(q url.Values) error {
	offset, err := strconv.ParseInt(q.Get("offset"), 10, 64)
	if err != nil {
		return err
	}
	l.Retain(q.Get("stream"), offset)
	return nil
}
