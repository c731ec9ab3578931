package claim_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

var (
	errLost = errors.New("response lost")
	errDown = errors.New("log unavailable")
)

// memLog is an in-memory log with latency, lost responses, outages, lagging reads and
// retention. Without a random source only the fields down and retain cause faults.
type memLog struct {
	mu      sync.Mutex
	records []storedRecord
	oldest  int // index of the oldest retained record
	random  *rand.Rand
	retain  time.Duration
	down    bool
	appends int
}

type storedRecord struct {
	at   time.Time
	data []byte
}

var _ claim.Log = (*memLog)(nil)

func (l *memLog) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random == nil {
		return n - 1
	}
	return l.random.IntN(n)
}

func (l *memLog) delay(maxDelay time.Duration) {
	if l.random != nil {
		time.Sleep(time.Duration(l.intN(int(maxDelay))))
	}
}

func (l *memLog) add(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, storedRecord{time.Now(), data})
	return int64(len(l.records) - 1)
}

func (l *memLog) state() (down bool, end int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, len(l.records)
}

func (l *memLog) Append(_ context.Context, data []byte) (int64, error) {
	if down, _ := l.state(); down {
		return 0, errDown
	}
	l.mu.Lock()
	l.appends++
	l.mu.Unlock()
	l.delay(time.Second)
	switch l.intN(12) {
	case 0:
		return 0, errLost
	case 1:
		l.add(data)
		return 0, errLost
	case 2: // arrives after up to 5 minutes, which may exceed the retention time
		go func() {
			l.delay(5 * time.Minute)
			l.add(data)
		}()
		return 0, errLost
	}
	offset := l.add(data)
	l.delay(2 * time.Second)
	return offset, nil
}

func (l *memLog) Read(_ context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	if down, _ := l.state(); down {
		return nil, 0, errDown
	}
	l.delay(time.Second)
	_, end := l.state()
	if l.intN(4) == 0 { // the read is served by a lagging replica
		end -= min(end, 2)
	}
	if l.intN(9) == 0 {
		return nil, 0, errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.retain > 0 && l.oldest < len(l.records) && time.Since(l.records[l.oldest].at) > l.retain {
		l.oldest++
	}
	start := max(int(from), l.oldest)
	end = min(max(end, start), start+limit)
	var records []claim.Record
	for i := start; i < end; i++ {
		records = append(records, claim.Record{Offset: int64(i), Data: l.records[i].data})
	}
	return records, int64(end), nil
}

// skewClock runs at its own rate relative to the virtual time.
type skewClock struct {
	origin time.Time
	rate   float64
}

var _ claim.Clock = skewClock{}

func (c skewClock) Now() time.Duration {
	return time.Duration(float64(time.Since(c.origin)) * c.rate)
}

func (c skewClock) Sleep(ctx context.Context, d time.Duration) error {
	return claim.NewSystemClock().Sleep(ctx, c.real(d)+1) // rounded up, never shorter than d
}

// real converts a duration on this clock to virtual time.
func (c skewClock) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.rate)
}

const (
	ttl          = 20 * time.Second
	orderTimeout = 3 * time.Second
)

func config(log claim.Log, holder string, random *rand.Rand) claim.Config {
	return claim.Config{
		Log: log, Clock: claim.NewSystemClock(), Holder: holder, Random: random.Int64N,
		OrderTimeout: orderTimeout, MaxTTL: time.Minute, Poll: 200 * time.Millisecond,
	}
}

func newClaimer(t *testing.T, log claim.Log, holder string) *claim.Claimer {
	c, err := claim.New(config(log, holder, rand.New(rand.NewPCG(1, 2))))
	must.NoError(t, err)
	return c
}
