package claim_test

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/coord/claim"
)

// The property test runs with a fixed seed and number of checks; command-line flags override
// them.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "50")
}

// simVariant selects the correct implementation or a deliberately broken one that the checker
// must detect.
type simVariant int

const (
	correct               simVariant = iota
	countsTTLFromGrant               // the holder starts the TTL after the append and the read
	excessiveSkew                    // clock rates differ by more than the margin allows
	missesConcurrentClaim            // a contender does not read a claim appended just before its own
)

// validPeriod is a period in which a claim is valid according to its holder.
type validPeriod struct {
	resource    string
	token       int64
	from, until time.Time
}

// checkExclusive returns an error for the first violation: two holders at the same time, or a
// token that does not increase.
func checkExclusive(periods []validPeriod) error {
	slices.SortFunc(periods, func(a, b validPeriod) int {
		return cmp.Or(cmp.Compare(a.resource, b.resource), a.from.Compare(b.from))
	})
	for i, period := range periods[:max(0, len(periods)-1)] {
		next := periods[i+1]
		if next.resource != period.resource {
			continue
		}
		if next.from.Before(period.until) {
			return fmt.Errorf("%s: tokens %d and %d valid at once for %v", period.resource, period.token, next.token, period.until.Sub(next.from))
		}
		if next.token <= period.token {
			return fmt.Errorf("%s: token %d after %d, want a higher one", period.resource, next.token, period.token)
		}
	}
	return nil
}

// hidingLog hides the claim records between a contender's last read and its append.
type hidingLog struct {
	*memLog
	readOffset int64
	hiddenFrom int64
	hiddenTo   int64
}

func (l *hidingLog) Append(ctx context.Context, data []byte) (int64, error) {
	offset, err := l.memLog.Append(ctx, data)
	if err == nil {
		l.hiddenFrom, l.hiddenTo = l.readOffset, offset
	}
	return offset, err
}

func (l *hidingLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	records, next, err := l.memLog.Read(ctx, from, limit)
	for i, r := range records {
		if r.Offset >= l.hiddenFrom && r.Offset < l.hiddenTo && !bytes.Contains(r.Data, []byte("release")) {
			records[i].Data = nil
		}
	}
	l.readOffset = max(l.readOffset, next)
	return records, next, err
}

// simulation runs contenders against an unreliable log and records the periods in
// which each had a valid claim.
type simulation struct {
	variant simVariant
	log     *memLog
	end     time.Time
	slots   int
	resumes bool // contenders resume claims, expired ones too

	mu      sync.Mutex
	periods []validPeriod
	// resumedExpired is the number of claims that were resumed after they had expired.
	resumedExpired int
}

// contend acquires, holds and releases claims, with random pauses and restarts, until the
// simulation ends.
func (s *simulation) contend(t *testing.T, name string, random *rand.Rand) {
	skew := 0.01
	if s.variant == excessiveSkew {
		skew = 0.2
	}
	clock := skewClock{time.Now(), 1 - skew + 2*skew*random.Float64()}
	var c *claim.Claimer
	for time.Now().Before(s.end) {
		if c == nil || random.IntN(4) == 0 {
			c = s.start(t, name, clock, random)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(100))*time.Second)
		held, err := c.AcquireSlot(ctx, "r", s.slots, ttl)
		cancel()
		if err != nil {
			continue
		}
		s.holdClaim(held, clock, random)
		for s.resumes && random.IntN(3) > 0 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(30))*time.Second)
			next, err := c.Resume(ctx, held, ttl)
			cancel()
			if err != nil {
				break
			}
			s.recordResumed(held)
			held = next
			s.holdClaim(held, clock, random)
		}
	}
}

// recordResumed ends the period of a claim that its holder has resumed, and counts those that had expired.
func (s *simulation) recordResumed(held *claim.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.periods, func(p validPeriod) bool { return p.resource == held.Resource() && p.token == held.Token() })
	if !held.Valid(0) {
		s.resumedExpired++
		return
	}
	s.periods[i].until = time.Now()
}

func (s *simulation) start(t *testing.T, name string, clock claim.Clock, random *rand.Rand) *claim.Claimer {
	var log claim.Log = s.log
	if s.variant == missesConcurrentClaim {
		log = &hidingLog{memLog: s.log}
	}
	conf := config(log, name, random)
	conf.Clock = clock
	c, err := claim.New(conf)
	must.NoError(t, err)
	return c
}

func (s *simulation) holdClaim(held *claim.Claim, clock skewClock, random *rand.Rand) {
	remaining := held.Remaining()
	if s.variant == countsTTLFromGrant {
		remaining = ttl
	}
	period := validPeriod{held.Resource(), held.Token(), time.Now(), time.Now().Add(clock.real(remaining))}
	time.Sleep(time.Duration(random.IntN(30)) * time.Second)
	if random.IntN(2) == 0 && held.Valid(0) {
		period.until = time.Now()
		held.Release(context.Background())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.periods = append(s.periods, period)
}

func simulate(t *testing.T, variant simVariant, seed uint64, slots int) *simulation {
	return simulateClaims(t, &simulation{variant: variant, slots: slots}, seed)
}

func simulateClaims(t *testing.T, s *simulation, seed uint64) *simulation {
	s.end = time.Now().Add(15 * time.Minute)
	s.log = &memLog{random: rand.New(rand.NewPCG(seed, 0)), retain: 3 * time.Minute}
	var nodes sync.WaitGroup
	for i := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		nodes.Go(func() { s.contend(t, fmt.Sprint(i), random) })
	}
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(s.log.intN(200)) * time.Second)
		s.log.mu.Lock()
		s.log.down = !s.log.down
		s.log.mu.Unlock()
	}
	nodes.Wait()
	time.Sleep(time.Hour) // delayed appends arrive, claims expire
	return s
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		slots := rapid.IntRange(1, 2).Draw(rt, "slots")
		var s *simulation
		synctest.Test(t, func(t *testing.T) { s = simulate(t, correct, seed, slots) })
		if err := checkExclusive(s.periods); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestResumedClaimsHaveOneHolder checks that a holder that resumes its expired claims never shares a resource with
// another holder, which may have acquired it meanwhile.
func TestResumedClaimsHaveOneHolder(t *testing.T) {
	resumed := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		s := &simulation{resumes: true, slots: rapid.IntRange(1, 2).Draw(rt, "slots")}
		synctest.Test(t, func(t *testing.T) { simulateClaims(t, s, seed) })
		resumed += s.resumedExpired
		if err := checkExclusive(s.periods); err != nil {
			rt.Fatal(err)
		}
	})
	test.Positive(t, resumed)
	t.Log(resumed, "expired claims were resumed")
}

func TestCheckerCatchesBrokenVariants(t *testing.T) {
	const runs = 20
	for _, variant := range []simVariant{correct, countsTTLFromGrant, excessiveSkew, missesConcurrentClaim} {
		caught, claims, appends := 0, 0, 0
		for seed := range uint64(runs) {
			synctest.Test(t, func(t *testing.T) {
				s := simulate(t, variant, seed, 1)
				claims += len(s.periods)
				appends += s.log.appends
				if checkExclusive(s.periods) != nil {
					caught++
				}
			})
		}
		t.Logf("variant %d: caught in %d of %d runs, %d claims, %d appends", variant, caught, runs, claims, appends)
		test.Eq(t, variant != correct, caught > 0)
		test.Greater(t, runs*5, claims)
	}
}
