package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

func Example() {
	clock := claim.NewSystemClock()
	claimer, err := claim.New(claim.Config{
		Log: &memLog{}, Clock: clock, Holder: "n1", Random: rand.Int64N,
		OrderTimeout: 2 * time.Second, Grace: 2 * time.Second,
		MaxTTL: time.Minute, Poll: 100 * time.Millisecond,
	})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	held, err := claimer.Acquire(ctx, "engine-7", 30*time.Second)
	if err != nil {
		panic(err)
	}
	var endpoint claim.Fence
	fmt.Println("order", endpoint.Check("engine-7", held.Token()))
	held.Release(ctx)
	_, _, err = held.Order(ctx)
	fmt.Println("after release:", err)

	next, _ := claimer.Acquire(ctx, "engine-7", 30*time.Second)
	fmt.Println("next holder", endpoint.Check("engine-7", next.Token()))
	fmt.Println("late order", endpoint.Check("engine-7", held.Token()))
	// Output:
	// order <nil>
	// after release: claim: no longer valid
	// next holder <nil>
	// late order claim: token is lower than one already accepted: got 0, highest accepted is 2
}

// delayedReadLog delays the first read, which, like a long poll, also returns records appended
// during the delay.
type delayedReadLog struct {
	*memLog
	delay time.Duration
}

func (l *delayedReadLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	delay := l.delay
	l.delay = 0
	time.Sleep(delay)
	return l.memLog.Read(ctx, from, limit)
}

// TestContenderWaits lets a second node acquire the claim. The first node's claim must be
// invalid by then, and the second node must not wait longer than necessary.
func TestContenderWaits(t *testing.T) {
	tests := map[string]struct {
		holderRate, contenderRate float64
		readDelay, grace          time.Duration
		release                   bool
		maxWait                   time.Duration
	}{
		"released":                {holderRate: 1, contenderRate: 1, grace: 9 * time.Second, release: true, maxWait: time.Second},
		"expired without release": {holderRate: 1, contenderRate: 1, maxWait: 21 * time.Second},
		"grace":                   {holderRate: 1, contenderRate: 1, grace: 9 * time.Second, maxWait: 30 * time.Second},
		"slow holder clock":       {holderRate: 0.99, contenderRate: 1.01, maxWait: 21 * time.Second},
		"long poll":               {holderRate: 1, contenderRate: 1, readDelay: 15 * time.Second, maxWait: 27 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &memLog{}
				first := config(log, "a", rand.New(rand.NewPCG(1, 1)))
				first.Clock = skewClock{time.Now(), tc.holderRate}
				second := config(&delayedReadLog{log, tc.readDelay}, "b", rand.New(rand.NewPCG(1, 2)))
				second.Clock, second.Grace = skewClock{time.Now(), tc.contenderRate}, tc.grace
				a, err := claim.New(first)
				must.NoError(t, err)
				b, err := claim.New(second)
				must.NoError(t, err)

				won := make(chan *claim.Claim)
				contend := func() {
					held, err := b.Acquire(t.Context(), "r", ttl)
					test.NoError(t, err)
					won <- held
				}
				if tc.readDelay > 0 { // the read starts before the claim exists
					go contend()
					time.Sleep(tc.readDelay - 5*time.Second)
				}
				held, err := a.Acquire(t.Context(), "r", ttl)
				must.NoError(t, err)
				start := time.Now()
				if tc.readDelay == 0 {
					go contend()
				}
				synctest.Wait()
				if tc.release {
					must.NoError(t, held.Release(t.Context()))
				}
				next := <-won
				waited := time.Since(start)
				test.False(t, held.Valid(0), test.Sprint("both claims are valid"))
				test.Error(t, held.Context().Err())
				test.Greater(t, held.Token(), next.Token())
				test.LessEq(t, tc.maxWait, waited)
				test.True(t, tc.release || waited >= ttl+tc.grace)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestClaimLifecycle checks that acquiring and releasing a free slot costs two appends, that
// no order starts once only the order timeout remains, that slots limit the number of holders,
// and that a failed release still invalidates the claim.
func TestClaimLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		c := newClaimer(t, log, "a")
		for range 10 {
			held, err := c.AcquireSlot(t.Context(), "load", 2, ttl)
			must.NoError(t, err)
			must.NoError(t, held.Release(t.Context()))
		}
		test.Eq(t, 20, log.appends)

		last, err := c.Acquire(t.Context(), "last", ttl)
		must.NoError(t, err)
		_, cancelOrder, err := last.Order(t.Context())
		must.NoError(t, err)
		cancelOrder()
		time.Sleep(ttl - orderTimeout)
		synctest.Wait()
		_, _, err = last.Order(t.Context())
		test.ErrorIs(t, err, claim.ErrNotValid)
		test.ErrorIs(t, last.Context().Err(), context.Canceled)
		test.True(t, last.Valid(0))
		time.Sleep(2 * orderTimeout)
		test.False(t, last.Valid(0))

		one, err := c.AcquireSlot(t.Context(), "load", 2, ttl)
		must.NoError(t, err)
		two, err := c.AcquireSlot(t.Context(), "load", 2, ttl)
		must.NoError(t, err)
		test.NotEq(t, one.Resource(), two.Resource())
		holdings, err := c.Holdings(t.Context())
		must.NoError(t, err)
		test.Len(t, 2, holdings)
		short, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = c.AcquireSlot(short, "load", 2, ttl)
		test.ErrorIs(t, err, context.DeadlineExceeded)
		log.down = true
		test.ErrorIs(t, one.Release(t.Context()), errDown)
		test.False(t, one.Valid(0))
		log.down = false
		time.Sleep(time.Minute)
	})
}

// TestForeignRecords checks that records which no contender writes are ignored, since they
// would block a resource for everybody, and that a record which a contender could have written
// delays the claim.
func TestForeignRecords(t *testing.T) {
	for _, text := range []string{
		"", "null", "7", `"claim"`, "{", "\xff", `{"kind":"lease","id":"x","resource":"r","ttl_ns":20000000000}`, `{"kind":7}`,
		`{"kind":"claim","id":"x","resource":"r","ttl_ns":60000000001}`, `{"kind":"claim","id":"x","resource":"r","ttl_ns":9223372036854775807}`,
		`{"kind":"claim","id":"x","resource":"r","ttl_ns":-1}`, `{"kind":"claim","id":"x","resource":"r","ttl_ns":1.5}`, `{"kind":"claim","id":"x","resource":"r"}`,
		`{"kind":"claim","id":"","resource":"r","ttl_ns":20000000000}`, `{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":-1}`,
		`{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":1}`, `{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":9000000000000000000}`,
		`{"kind":"release","id":"","resource":"r"}`, `{"kind":"release","id":"x","resource":"r"}`,
	} {
		synctest.Test(t, func(t *testing.T) {
			log := &memLog{}
			log.add([]byte(text))
			c, err := claim.New(config(log, "a", rand.New(rand.NewPCG(1, 1))))
			must.NoError(t, err)
			start := time.Now()
			held, err := c.Acquire(t.Context(), "r", ttl)
			must.NoError(t, err)
			test.Eq(t, 1, held.Token(), test.Sprint(text))
			test.Less(t, time.Second, time.Since(start), test.Sprint(text))
			must.NoError(t, held.Release(t.Context()))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		log.add([]byte(`{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":0}`))
		c, err := claim.New(config(log, "a", rand.New(rand.NewPCG(1, 1))))
		must.NoError(t, err)
		start := time.Now()
		held, err := c.Acquire(t.Context(), "r", ttl)
		must.NoError(t, err)
		test.Greater(t, 20*time.Second, time.Since(start))
		must.NoError(t, held.Release(t.Context()))
	})
}

// FuzzRecords checks that no content of a record breaks the claims of other resources.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":0}`))
	f.Add([]byte(`{"kind":"claim","id":"x","resource":"r","ttl_ns":9223372036854775807,"seen":-1}`))
	f.Add([]byte(`{"kind":"release","id":"","resource":"r"}`))
	f.Add([]byte(`{"kind":"claim","id":"x","resource":"free","ttl_ns":20000000000,"seen":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		log := &memLog{}
		log.add(data)
		c, err := claim.New(config(log, "a", rand.New(rand.NewPCG(1, 1))))
		must.NoError(t, err)
		before, err := c.Holdings(t.Context())
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		if len(before) > 0 {
			cancel()
		}
		defer cancel()
		held, err := c.Acquire(ctx, "free", ttl)
		if err == nil && (held.Token() != 1 || !held.Valid(orderTimeout)) {
			t.Fatalf("claim of a free resource: token %d, want 1 and validity beyond the order timeout", held.Token())
		}
	})
}
