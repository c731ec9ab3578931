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
	// after release: claim: expired
	// next holder <nil>
	// late order claim: token is older than one already seen: 0 after 2
}

// slowRead answers the first read only after a delay, as a long poll does.
type slowRead struct {
	*memLog
	delay time.Duration
}

func (l *slowRead) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	delay := l.delay
	l.delay = 0
	time.Sleep(delay)
	return l.memLog.Read(ctx, from, limit)
}

// TestContenderWaits gives a second node the claim and looks whether the first
// still believed in its own, and how much longer than needed was waited.
func TestContenderWaits(t *testing.T) {
	tests := map[string]struct {
		holderRate, contenderRate float64
		readDelay, grace          time.Duration
		release                   bool
		atMost                    time.Duration
	}{
		"released":          {holderRate: 1, contenderRate: 1, grace: 9 * time.Second, release: true, atMost: time.Second},
		"ran out":           {holderRate: 1, contenderRate: 1, atMost: 21 * time.Second},
		"grace":             {holderRate: 1, contenderRate: 1, grace: 9 * time.Second, atMost: 30 * time.Second},
		"slow holder clock": {holderRate: 0.99, contenderRate: 1.01, atMost: 21 * time.Second},
		"long poll":         {holderRate: 1, contenderRate: 1, readDelay: 15 * time.Second, atMost: 27 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &memLog{}
				first := config(log, "a", rand.New(rand.NewPCG(1, 1)))
				first.Clock = skewClock{time.Now(), tc.holderRate}
				second := config(&slowRead{log, tc.readDelay}, "b", rand.New(rand.NewPCG(1, 2)))
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
				if tc.readDelay > 0 { // the read begins before the claim exists
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
				test.False(t, held.Valid(0), test.Sprint("both hold the claim"))
				test.Error(t, held.Context().Err())
				test.Greater(t, held.Token(), next.Token())
				test.LessEq(t, tc.atMost, waited)
				test.True(t, tc.release || waited >= ttl+tc.grace)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		c := newClaimer(t, log, "a")
		for range 10 {
			held, err := c.AcquireAny(t.Context(), "load", 2, ttl)
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
		test.ErrorIs(t, err, claim.ErrExpired)
		test.ErrorIs(t, last.Context().Err(), context.Canceled)
		test.True(t, last.Valid(0))
		time.Sleep(2 * orderTimeout)
		test.False(t, last.Valid(0))

		one, err := c.AcquireAny(t.Context(), "load", 2, ttl)
		must.NoError(t, err)
		two, err := c.AcquireAny(t.Context(), "load", 2, ttl)
		must.NoError(t, err)
		test.NotEq(t, one.Resource(), two.Resource())
		holdings, err := c.Holdings(t.Context())
		must.NoError(t, err)
		test.Len(t, 2, holdings)
		short, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = c.AcquireAny(short, "load", 2, ttl)
		test.ErrorIs(t, err, context.DeadlineExceeded)
		log.down = true
		test.ErrorIs(t, one.Release(t.Context()), errDown)
		test.False(t, one.Valid(0))
		log.down = false
		time.Sleep(time.Minute)
	})
}

// TestRecordsOfOthers ignores records that no contender writes, which would keep a resource from
// all, and waits for one that a contender could have written.
func TestRecordsOfOthers(t *testing.T) {
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
			begun := time.Now()
			held, err := c.Acquire(t.Context(), "r", ttl)
			must.NoError(t, err)
			test.Eq(t, 1, held.Token(), test.Sprint(text))
			test.Less(t, time.Second, time.Since(begun), test.Sprint(text))
			must.NoError(t, held.Release(t.Context()))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		log.add([]byte(`{"kind":"claim","id":"x","resource":"r","ttl_ns":20000000000,"seen":0}`))
		c, err := claim.New(config(log, "a", rand.New(rand.NewPCG(1, 1))))
		must.NoError(t, err)
		begun := time.Now()
		held, err := c.Acquire(t.Context(), "r", ttl)
		must.NoError(t, err)
		test.Greater(t, 20*time.Second, time.Since(begun))
		must.NoError(t, held.Release(t.Context()))
	})
}

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
			t.Fatalf("token %d", held.Token())
		}
	})
}
