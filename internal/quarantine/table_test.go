package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// clock is a manually advanced clock.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(1_800_000_000, 0)} }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func print(name string) Fingerprint {
	return FingerprintOf("yard", "POST", "office.example", "/query/"+name, nil)
}

// recordEndings records endings of a request, and returns whether the request became held.
func recordEndings(t *Table, f Fingerprint, endpoints ...string) bool {
	held := false
	for _, e := range endpoints {
		held = t.RecordEnd(Ending{Fingerprint: f, Endpoint: e}) || held
	}
	return held
}

func TestThreeEndingsHold(t *testing.T) {
	c := newClock()
	table := NewTable(c.now)
	f := print("a")
	test.True(t, table.Empty())
	test.False(t, recordEndings(table, f, "e1@1", "e2@1", "e1@1", "e2@1")) // repeated reports
	test.False(t, table.Empty())
	test.True(t, table.HeldUntil(f).IsZero())
	test.True(t, recordEndings(table, f, "e1@2")) // another start of the same endpoint
	test.Eq(t, c.at.Add(firstHold), table.HeldUntil(f))
	test.True(t, table.HeldUntil(print("b")).IsZero())
	test.SliceEmpty(t, table.Endings())
	c.advance(firstHold)
	test.True(t, table.HeldUntil(f).IsZero())
}

// TestHoldTimeDoubles checks that each further endpoint that ends after a hold starts a hold of twice
// the duration, and that runs in flight at the start of a hold do not count.
func TestHoldTimeDoubles(t *testing.T) {
	c := newClock()
	table := NewTable(c.now)
	f := print("a")
	must.True(t, recordEndings(table, f, "e1", "e2", "e3"))
	test.False(t, recordEndings(table, f, "e4", "e5", "e6"))
	test.Eq(t, c.at.Add(firstHold), table.HeldUntil(f))
	for i, want := range []time.Duration{2 * firstHold, 4 * firstHold, 8 * firstHold, 16 * firstHold, maxHold, maxHold} {
		c.at = table.Holds()[0].Until
		test.False(t, recordEndings(table, f, "e1")) // late report
		must.True(t, recordEndings(table, f, fmt.Sprint("later-", i)))
		test.Eq(t, c.at.Add(want), table.HeldUntil(f))
	}
}

func TestCompletedRequestsAreCleared(t *testing.T) {
	table := NewTable(newClock().now)
	f := print("a")
	test.False(t, table.Clear(f))
	recordEndings(table, f, "e1", "e2")
	test.True(t, table.Clear(f))
	test.True(t, table.Empty())
	test.False(t, recordEndings(table, f, "e3"))
	must.True(t, recordEndings(table, f, "e4", "e5"))
	test.True(t, table.Clear(f))
	test.True(t, table.HeldUntil(f).IsZero())
}

func TestOldEndingsExpire(t *testing.T) {
	c := newClock()
	table := NewTable(c.now)
	f := print("a")
	recordEndings(table, f, "e1", "e2")
	c.advance(retention + time.Second)
	test.False(t, recordEndings(table, f, "e3"))
	test.True(t, recordEndings(table, f, "e4", "e5"))
}

// TestTableIsBounded checks that the table size is bounded, and that many requests with one ending each
// do not evict a held request.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(newClock().now)
	crashing := print("guilty")
	must.True(t, recordEndings(table, crashing, "e1", "e2", "e3"))
	for i := range 3 * maxCandidates {
		table.RecordEnd(Ending{Fingerprint: print(fmt.Sprint(i)), Endpoint: "e4"})
	}
	test.Eq(t, maxCandidates+1, int(table.entries.Load()))
	test.False(t, table.HeldUntil(crashing).IsZero())
	for i := range 2 * maxHeld {
		recordEndings(table, print(fmt.Sprint("held-", i)), "e1", "e2", "e3")
	}
	test.Eq(t, maxHeld, len(table.Holds()))
}

func TestFingerprints(t *testing.T) {
	seen := make(map[Fingerprint]string)
	for _, fields := range [][5]string{
		{"yard", "POST", "h", "/a", "x"}, {"mill", "POST", "h", "/a", "x"}, {"", "POST", "h", "/a", "x"},
		{"yard", "GET", "h", "/a", "x"}, {"yard", "POST", "g", "/a", "x"}, {"yard", "POST", "h", "/a?b", "x"},
		{"yard", "POST", "h", "/ax", ""}, {"yardP", "OST", "h", "/a", "x"}, {"yard", "POST", "h", "/a", "y"},
	} {
		f := FingerprintOf(fields[0], fields[1], fields[2], fields[3], []byte(fields[4]))
		test.Eq(t, "", seen[f])
		seen[f] = fmt.Sprint(fields)
		read, err := ParseFingerprint(f.String())
		must.NoError(t, err)
		test.Eq(t, f, read)
	}
	for _, wrong := range []string{"", "ab", "zz", print("a").String() + "00"} {
		_, err := ParseFingerprint(wrong)
		test.Error(t, err)
	}
}

// BenchmarkFingerprint measures the fingerprint computation, which is needed for each request while the
// table is not empty, and for each lost run.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 32 << 10, 1 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				FingerprintOf("yard", "POST", "office.example", "/query/a", body)
			}
		})
	}
}
