package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPushPop pops and pushes one item per iteration, with ten items queued per account.
func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{10, 100, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := benchQueue(b, accounts)
			b.ReportAllocs()
			for b.Loop() {
				it, _ := q.Pop()
				if _, err := q.Push(epoch, it); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkExpire calls Expire on a queue without expired items.
func BenchmarkExpire(b *testing.B) {
	for _, accounts := range []int{10, 100, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := benchQueue(b, accounts)
			b.ReportAllocs()
			for b.Loop() {
				if q.Expire(epoch) != nil {
					b.Fatal("late")
				}
			}
		})
	}
}

// BenchmarkExpireNearDeadline calls Expire on items that are all close to expiry, which is the
// worst case.
func BenchmarkExpireNearDeadline(b *testing.B) {
	for _, items := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			q := New[int](epoch, Config{Classes: []Class{{4}, {1}}, MaxLen: 1 << 20, Rate: 1000})
			for i := range items {
				it := Item[int]{Account: Account{ID: "a", Weight: 1}, Cost: 1}
				it.StartBy = epoch.Add(time.Duration(i)*time.Millisecond + time.Microsecond)
				if _, err := q.Push(epoch, it); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if q.Expire(epoch) != nil {
					b.Fatal("late")
				}
			}
		})
	}
}

// BenchmarkCharge charges one account and refunds it in each iteration.
func BenchmarkCharge(b *testing.B) {
	for _, accounts := range []int{10, 100, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := benchQueue(b, accounts)
			it, _ := q.Pop()
			b.ReportAllocs()
			for b.Loop() {
				q.Charge(it.Account, 1)
				q.Charge(it.Account, -1)
			}
		})
	}
}

func benchQueue(b *testing.B, accounts int) *Queue[int] {
	b.Helper()
	q := New[int](epoch, Config{Classes: []Class{{4}, {1}}, MaxLen: 1 << 20, Rate: 1e6})
	for i := range accounts * 10 {
		it := Item[int]{Account: Account{ID: fmt.Sprint(i % accounts), Weight: 1}, Cost: float64(1 + i%97)}
		it.StartBy = epoch.Add(time.Hour)
		if _, err := q.Push(epoch, it); err != nil {
			b.Fatal(err)
		}
	}
	return q
}
