package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
)

// readLogInterval is the least time between two log lines about the reads of a topic.
const readLogInterval = 2 * time.Second

// Read is the outcome of one read of a topic.
type Read struct {
	Source follow.Source
	Took   time.Duration
	Bytes  int   // of the values
	Era    int64 // of the store, of the page; 0 if the read failed
	Err    error
}

// readCounts sums up reads from one kind of source.
type readCounts struct {
	done, failed, bytes int
	longest             time.Duration
	era                 int64 // of the latest page; not set if all reads failed
}

// readLog logs reads of a topic that failed, summed up over some time, so that its lines are bounded
// however often reads fail. It is not safe for concurrent use.
type readLog struct {
	counts   [len(sourceKinds)]readCounts
	cause    error // of the latest failure
	loggedAt time.Time
}

// sourceKinds are the kinds of sources, in the order of their numbers.
var sourceKinds = [...]follow.SourceKind{follow.SourceStore, follow.SourceReader, follow.SourceBackup}

// record counts a read, and logs the reads since the previous line if any failed.
func (l *readLog) record(r Read, topic string, log *zerolog.Logger, now time.Time) {
	c := &l.counts[r.Source.Kind]
	c.done++
	c.bytes += r.Bytes
	c.longest = max(c.longest, r.Took)
	if r.Err != nil {
		c.failed++
		l.cause = r.Err
	} else {
		c.era = r.Era
	}
	if l.cause == nil || now.Sub(l.loggedAt) < readLogInterval {
		return
	}
	line := log.Info().Str("event", "topic_reads").Str("topic", topic).AnErr("cause", l.cause)
	for i, kind := range sourceKinds {
		if c := l.counts[i]; c.done > 0 {
			name := kind.String()
			if c.failed < c.done {
				line.Int64(name+"_era", c.era)
			}
			line.Int(name, c.done).Int(name+"_failed", c.failed).Int(name+"_bytes", c.bytes).Int64(name+"_longest_ms", c.longest.Milliseconds())
		}
	}
	line.Send()
	*l = readLog{loggedAt: now}
}

// valueBytes returns the size of the values of records.
func valueBytes(records []follow.Record) int {
	bytes := 0
	for i := range records {
		bytes += len(records[i].Value)
	}
	return bytes
}

// readStore reads changes from the store.
func (t *Topic) readStore(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	page, err := t.observe(follow.Source{}, func() (follow.Page, error) { return t.Store.Read(ctx, from, wait) })
	if errors.Is(err, follow.ErrCompacted) {
		t.compactedAt = time.Now()
	}
	return page, err
}

// newestFromStore reads all records from the store.
func (t *Topic) newestFromStore(ctx context.Context) (follow.Page, error) {
	return t.observe(follow.Source{}, func() (follow.Page, error) { return t.Store.Newest(ctx) })
}

// observe carries out a read, reports its outcome, and states its source in the page.
func (t *Topic) observe(source follow.Source, read func() (follow.Page, error)) (follow.Page, error) {
	began := time.Now()
	page, err := read()
	page.Source = source
	outcome := Read{Source: source, Took: time.Since(began), Bytes: valueBytes(page.Records), Era: follow.EraOf(page.Next), Err: err}
	t.reads.record(outcome, t.Name, &t.Log, time.Now())
	if t.OnRead != nil {
		t.OnRead(outcome)
	}
	return page, err
}
