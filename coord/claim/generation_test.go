package claim_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

// generationBits is the number of bits of an offset below its generation.
const generationBits = 32

// restoredLog is a log that may lose its newest records.
type restoredLog struct {
	mu         sync.Mutex
	generation int64
	records    [][]byte
}

func (l *restoredLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return l.generation<<generationBits | int64(len(l.records)-1), nil
}

func (l *restoredLog) Read(_ context.Context, from int64, _ int) (records []claim.Record, next int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begin := l.generation << generationBits
	for offset := max(from, begin); offset < begin+int64(len(l.records)); offset++ {
		records = append(records, claim.Record{Offset: offset, Data: l.records[offset-begin]})
	}
	return records, begin + int64(len(l.records)), nil
}

// restore goes back to the first records.
func (l *restoredLog) restore(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	l.records = l.records[:records]
}

// TestLostClaimIsWaitedFor guards against two holders, and against equal or lower tokens, after the log lost the
// record of a claim that is in force.
func TestLostClaimIsWaitedFor(t *testing.T) {
	const ttl, grace = 2 * time.Second, 3 * time.Second
	for _, keptRecords := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			log := &restoredLog{}
			claimer := func(holder string) *claim.Claimer {
				c, err := claim.New(claim.Config{
					Log: log, Clock: claim.NewSystemClock(), Holder: holder, OrderTimeout: 500 * time.Millisecond, Grace: grace, MaxTTL: 10 * time.Second,
					Poll: 100 * time.Millisecond, Random: rand.Int64N, LostTTL: ttl, Generation: func(offset int64) int64 { return offset >> generationBits },
				})
				must.NoError(t, err)
				return c
			}
			first, second := claimer("n1"), claimer("n2")
			released, err := second.Acquire(t.Context(), "r", ttl)
			must.NoError(t, err)
			must.NoError(t, released.Release(t.Context()))
			_, err = second.Holdings(t.Context())
			must.NoError(t, err)
			held, err := first.Acquire(t.Context(), "r", ttl)
			must.NoError(t, err)
			log.restore(keptRecords)
			begun := time.Now()
			next, err := second.Acquire(t.Context(), "r", ttl)
			must.NoError(t, err)
			test.False(t, held.Valid(0))
			test.Greater(t, held.Token(), next.Token())
			test.Between(t, ttl+grace, time.Since(begun), ttl+grace+time.Second)
			must.NoError(t, next.Release(t.Context()))
		})
	}
}
