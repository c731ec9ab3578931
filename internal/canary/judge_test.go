package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// behavior is how endpoints of a release answer.
type behavior struct {
	failures float64       // share of the answers
	took     time.Duration // mean duration of the others
}

func (b behavior) answer(random *rand.Rand) (bad bool, took time.Duration) {
	return random.Float64() < b.failures, time.Duration((0.5 + random.ExpFloat64()) * float64(b.took))
}

func (c *Counts) addMany(random *rand.Rand, n int, b behavior) {
	for range n {
		c.add(b.answer(random))
	}
}

var usual = behavior{failures: 0.01, took: 100 * time.Millisecond}

// row returns the answers on a route: ten times as many of the present release as of the new one.
func row(random *rand.Rand, route string, answers int, released behavior) Row {
	r := Row{Route: route}
	r.Old.addMany(random, 10*answers, usual)
	r.New.addMany(random, answers, released)
	return r
}

func TestJudge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const within = 40 * time.Second
	good, failing := row(random, "a", 100, usual), row(random, "b", 60, behavior{0.5, usual.took})
	slow := row(random, "b", 60, behavior{0.01, 5 * usual.took})
	failsAll := row(random, "b", 12, behavior{1, 0})
	few := row(random, "b", 6, usual)
	for _, tc := range []struct {
		name string
		e    Evidence
		want Phase
	}{
		{"early", Evidence{Rows: []Row{good}, Elapsed: 5 * time.Second}, Trial},
		{"good", Evidence{Rows: []Row{good}, Elapsed: 30 * time.Second}, Promoting},
		{"no answers", Evidence{Elapsed: 30 * time.Second}, Trial},
		{"no answers until the end", Evidence{Elapsed: 39 * time.Second}, RolledBack},
		{"one route fails", Evidence{Rows: []Row{good, failing}, Elapsed: 5 * time.Second}, RolledBack},
		{"one route is slow", Evidence{Rows: []Row{good, slow}, Elapsed: 5 * time.Second}, RolledBack},
		{"a rare route fails", Evidence{Rows: []Row{few, failsAll}, Elapsed: 5 * time.Second}, RolledBack},
		{"little traffic on a route", Evidence{Rows: []Row{good, few}, Elapsed: 30 * time.Second}, Trial},
		{"little traffic until the end", Evidence{Rows: []Row{good, few}, Elapsed: 39 * time.Second}, RolledBack},
		{"just promoted", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: time.Second, Elapsed: 30 * time.Second}, Promoting},
		{"requests left", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: 6 * time.Second, OldInFlight: 1, Elapsed: 34 * time.Second}, Promoting},
		{"requests left at the end", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: 6 * time.Second, OldInFlight: 1, Elapsed: 39 * time.Second}, Succeeded},
		{"not all heard", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: 6 * time.Second, Unheard: 1, Elapsed: 34 * time.Second}, Promoting},
		{"not all heard at the end", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: 6 * time.Second, Unheard: 1, Elapsed: 39 * time.Second}, Succeeded},
		{"all gone over", Evidence{Rows: []Row{good}, Phase: Promoting, Promoted: 6 * time.Second, Elapsed: 34 * time.Second}, Succeeded},
		{"turns bad when promoted", Evidence{Rows: []Row{failing}, Phase: Promoting, Promoted: 6 * time.Second, Elapsed: 34 * time.Second}, RolledBack},
		{"held", Evidence{Rows: []Row{good}, Held: true, Elapsed: 30 * time.Second}, RolledBack},
		{"succeeded", Evidence{Rows: []Row{failing}, Phase: Succeeded, Elapsed: 39 * time.Second}, Succeeded},
		{"rolled back", Evidence{Rows: []Row{good}, Phase: RolledBack, Elapsed: 30 * time.Second}, RolledBack},
	} {
		tc.e.Within = within
		test.Eq(t, tc.want, Judge(&tc.e).Phase, test.Sprint(tc.name))
	}
}

// TestGoodReleaseIsNotRolledBackByChance judges a release that is as good as the present one again and
// again, on many routes and with usual failure rates from 0 to 20%.
func TestGoodReleaseIsNotRolledBackByChance(t *testing.T) {
	worse := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		routes := make([]behavior, 12)
		rows := make([]Row, len(routes))
		for i := range routes {
			routes[i] = behavior{random.Float64() * 0.2, time.Duration(20+random.IntN(800)) * time.Millisecond}
		}
		for second := range 30 {
			for i := range rows {
				rows[i].Old.addMany(random, 20, routes[i])
				rows[i].New.addMany(random, 2, routes[i])
			}
			e := Evidence{Rows: rows, Elapsed: time.Duration(second) * time.Second, Within: time.Minute}
			if e.worse() != "" {
				worse++
				break
			}
		}
	}
	test.LessEq(t, 3, worse, test.Sprint("1 in 100 orders"))
}

// TestBadReleaseIsFoundSoon checks that a release that fails or is slow in a fifth of its answers or
// more is found before it has given 50 bad ones, and that one is never taken for sound.
func TestBadReleaseIsFoundSoon(t *testing.T) {
	for seed := range uint64(100) {
		for _, b := range []behavior{{0.2, usual.took}, {0.5, usual.took}, {1, usual.took}, {0.01, 5 * usual.took}} {
			random := rand.New(rand.NewPCG(seed, 4))
			r := Row{Route: "a"}
			for r.New.Bad < 50 && r.New.Answers < 100 {
				r.Old.addMany(random, 10, usual)
				r.New.addMany(random, 1, b)
				e := Evidence{Rows: []Row{r}}
				if e.worse() != "" {
					break
				}
			}
			e := Evidence{Rows: []Row{r}}
			test.NotEq(t, "", e.worse(), test.Sprint(seed, b, r.New.Answers))
			test.NotEq(t, "", e.unproved(), test.Sprint(seed, b))
		}
	}
}

func TestInterval(t *testing.T) {
	for _, tc := range []struct {
		count, of    int
		lower, upper float64
	}{{0, 0, 0, 1}, {0, 16, 0, 0.145}, {8, 16, 0.309, 0.691}, {16, 16, 0.855, 1}} {
		lower, upper := interval(tc.count, tc.of, soundZ)
		test.InDelta(t, tc.lower, lower, 0.001)
		test.InDelta(t, tc.upper, upper, 0.001)
	}
}

func TestDurationBuckets(t *testing.T) {
	var c Counts
	_, known := c.medianBucket()
	test.False(t, known)
	for _, took := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 110 * time.Millisecond, time.Hour} {
		c.add(false, took)
	}
	c.add(true, 0)
	median, known := c.medianBucket()
	test.True(t, known)
	test.Eq(t, bucketOf(100*time.Millisecond), median)
	test.Eq(t, 1, c.slowerThan(median+2))
	test.True(t, c.valid())
	c.Answers++
	test.False(t, c.valid())
}
