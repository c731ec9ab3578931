package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func ampleLimits(string) (Limit, bool) { return Limit{Requests: 1e12, Tokens: 1e12}, true }

func noOwner(string) NodeID { return "" }

// busyBorrower returns a borrower that has admitted one request for each of n
// accounts, and the names of the accounts.
func busyBorrower(n int) (*Borrower, []string) {
	b := NewBorrower(epoch, BorrowerConfig{Settings: DefaultSettings(7), Limits: ampleLimits, Owner: noOwner})
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("account-%04d", i)
		b.Allow(epoch.Add(time.Second), names[i], 300)
	}
	return b, names
}

// TestAllowDoesNotAllocate checks that Allow and Done allocate no memory.
func TestAllowDoesNotAllocate(t *testing.T) {
	b, names := busyBorrower(10)
	now := epoch.Add(time.Second)
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		must.True(t, b.Allow(now, names[3], 300).OK())
		b.Done(now, names[3], -20)
	}))
}

func BenchmarkAllow(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			borrower, names := busyBorrower(accounts)
			now := epoch.Add(time.Second)
			var i int
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				borrower.Allow(now, names[i], 300)
				i = (i + 1) % len(names)
			}
		})
	}
}

// BenchmarkNext measures Borrower.Next when no account needs a request.
func BenchmarkNext(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			borrower, _ := busyBorrower(accounts)
			for b.Loop() {
				borrower.Next(epoch.Add(2 * time.Second))
			}
		})
	}
}

// BenchmarkMemory reports the heap memory used per account.
func BenchmarkMemory(b *testing.B) {
	const accounts = 1300
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprintf("account-%04d", i)
	}
	b.Run("borrower", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			borrower := NewBorrower(epoch, BorrowerConfig{Settings: DefaultSettings(7), Limits: ampleLimits, Owner: noOwner})
			for _, name := range names {
				borrower.Allow(epoch, name, 1)
			}
			b.ReportMetric(float64(heap()-before)/accounts, "B/account")
			runtime.KeepAlive(borrower)
		}
	})
	b.Run("lender,borrowers=100", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			lender := NewLender(LenderConfig{Settings: DefaultSettings(100), Limits: ampleLimits})
			for i := range 100 {
				req := LeaseRequest{From: Incarnation{Node: nodeID(i)}, Seq: 1, Asks: make([]Ask, accounts)}
				for j, name := range names {
					req.Asks[j].Account = name
				}
				lender.Handle(epoch, req)
			}
			b.ReportMetric(float64(heap()-before)/accounts, "B/account")
			runtime.KeepAlive(lender)
		}
	})
}
