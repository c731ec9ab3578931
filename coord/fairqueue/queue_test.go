package fairqueue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func item(id string, class int, cost float64, deadline time.Duration) Item[int] {
	it := Item[int]{Account: Account{ID: id, Class: class, Weight: 1}, Cost: cost}
	if deadline > 0 {
		it.StartBy = epoch.Add(deadline)
	}
	return it
}

func push(t *testing.T, q *Queue[int], n int, it Item[int]) Handle[int] {
	t.Helper()
	var h Handle[int]
	for range n {
		var err error
		h, err = q.Push(epoch, it)
		must.NoError(t, err)
	}
	return h
}

// TestNewAccountWait checks that an account with its first item waits for at most one item of
// each other account.
func TestNewAccountWait(t *testing.T) {
	q := newTestQueue(10000)
	for i := range 5 {
		push(t, q, 200, item(fmt.Sprint("large", i), 0, 10, 0))
	}
	for range 333 {
		q.Pop()
	}
	push(t, q, 1, item("small", 0, 10, 0))
	var before int
	for it, _ := q.Pop(); it.Account.ID != "small"; it, _ = q.Pop() {
		before++
	}
	must.LessEq(t, 5, before)
}

func TestClassShares(t *testing.T) {
	q := newTestQueue(10000)
	push(t, q, 500, item("a", 0, 10, 0))
	push(t, q, 500, item("b", 1, 10, 0))
	counts := map[string]int{}
	for range 500 {
		it, _ := q.Pop()
		counts[it.Account.ID]++
	}
	must.Eq(t, map[string]int{"a": 400, "b": 100}, counts)
}

func TestPushRejects(t *testing.T) {
	newQueue := func() *Queue[int] {
		q := New[int](epoch, Config{Classes: []Class{{3}, {1}}, MaxLen: 100, Rate: 10})
		push(t, q, 10, item("a", 0, 10, 0)) // 10 s of work
		push(t, q, 10, item("b", 1, 10, 0)) // 10 s of work in the class of weight 1
		return q
	}
	tests := []struct {
		name       string
		item       Item[int]
		reason     Reason
		wait       time.Duration
		retryAfter time.Duration
	}{
		// A new account waits for one item of account a and a third of that for the other class.
		{"new account, deadline met", item("c", 0, 10, 1334*time.Millisecond), 0, 0, 0},
		{"new account, deadline 1 ms too early", item("c", 0, 10, 1333*time.Millisecond), DeadlineUnmeetable, 1333 * time.Millisecond, 100 * time.Millisecond},
		// Account a waits for its own items and a third of their cost for the other class.
		{"own items ahead, deadline too early", item("a", 0, 10, 10*time.Second), DeadlineUnmeetable, 13333 * time.Millisecond, 3333 * time.Millisecond},
		{"other class becomes empty first, deadline too early", item("b", 1, 10, 5*time.Second), DeadlineUnmeetable, 20 * time.Second, 15 * time.Second},
		// The deadline is 1 ns ahead.
		{"past", item("a", 0, 10, 1), DeadlineUnmeetable, 13333 * time.Millisecond, 13333 * time.Millisecond},
		{"own items ahead, deadline met", item("a", 0, 10, 14*time.Second), 0, 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			q := newQueue()
			_, err := q.Push(epoch, tc.item)
			if tc.reason == 0 {
				must.NoError(t, err)
				return
			}
			var rejected *RejectedError
			must.True(t, errors.As(err, &rejected))
			must.Eq(t, tc.reason, rejected.Reason)
			must.Eq(t, tc.wait, rejected.Wait.Truncate(time.Millisecond))
			must.Eq(t, tc.retryAfter, rejected.RetryAfter.Truncate(time.Millisecond))
			must.Eq(t, 20, q.Len())
		})
	}
	_, err := newQueue().Push(epoch, item("a", 2, 1, 0))
	must.ErrorIs(t, err, ErrUnknownClass)
	_, err = newQueue().Push(epoch, item("a", 0, 0, 0))
	must.ErrorIs(t, err, ErrInvalidItem)
}

// TestOneAccountCannotFillQueue pushes items of one account until they are rejected; other
// accounts can still push.
func TestOneAccountCannotFillQueue(t *testing.T) {
	q := newTestQueue(1000)
	var err error
	for err == nil {
		_, err = q.Push(epoch, item("large", 0, 1, 0))
	}
	var rejected *RejectedError
	must.True(t, errors.As(err, &rejected))
	must.Eq(t, QueueFull, rejected.Reason)
	must.Positive(t, rejected.RetryAfter)
	must.Eq(t, 500, q.Len())
	for i := range 499 {
		push(t, q, 1, item(fmt.Sprint("small", i), 1, 1, 0))
	}
}

// TestExpire checks that Expire, which skips subtrees, returns the items whose predicted wait
// exceeds the time until the deadline.
func TestExpire(t *testing.T) {
	q := New[int](epoch, Config{Classes: []Class{{1}}, MaxLen: 1000, Rate: 10})
	for i := range 20 {
		it := item("a", 0, 10, time.Duration(i)*time.Second+time.Millisecond)
		it.Value = i
		push(t, q, 1, it)
	}
	must.SliceEmpty(t, q.Expire(epoch))
	q.SetRate(5) // each item now takes 2 s; removing one lets the next start earlier
	var values []int
	for _, it := range q.Expire(epoch) {
		values = append(values, it.Value)
	}
	must.Eq(t, []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19}, values)
	must.Len(t, 10, q.Expire(epoch.Add(time.Hour)))
	must.Eq(t, 0, q.Accounts())
}

// TestChargeCorrectsShares has one account, "liar", whose items cost four times the estimate. With
// Charge it receives an equal share of the actual service; without it, four times that of the
// other account.
func TestChargeCorrectsShares(t *testing.T) {
	for _, charged := range []bool{true, false} {
		q := newTestQueue(10000)
		work := map[string]float64{}
		push(t, q, 2, item("liar", 0, 10, 0))
		push(t, q, 2, item("honest", 0, 10, 0))
		for range 2000 {
			it, _ := q.Pop()
			actual := it.Cost
			if it.Account.ID == "liar" {
				actual = 4 * it.Cost
			}
			work[it.Account.ID] += actual
			if charged {
				q.Charge(it.Account, actual-it.Cost)
			}
			push(t, q, 1, it)
		}
		ratio := work["liar"] / work["honest"]
		if charged {
			must.Between(t, 0.95, ratio, 1.05)
		} else {
			must.Between(t, 3.9, ratio, 4.1)
		}
	}
}
