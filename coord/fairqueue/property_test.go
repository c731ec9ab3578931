package fairqueue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scheduler has the methods that runRandomOperations calls.
type scheduler interface {
	push(Item[int])
	pop() (Item[int], bool)
}

// fairScheduler adapts a Queue to scheduler.
type fairScheduler struct{ q *Queue[int] }

func (f fairScheduler) push(it Item[int]) {
	if _, err := f.q.Push(epoch, it); err != nil {
		panic(err)
	}
}
func (f fairScheduler) pop() (Item[int], bool) { return f.q.Pop() }

// fifoScheduler is a broken variant that serves items in order of arrival.
type fifoScheduler struct{ items []Item[int] }

func (f *fifoScheduler) push(it Item[int]) { f.items = append(f.items, it) }
func (f *fifoScheduler) pop() (Item[int], bool) {
	if len(f.items) == 0 {
		return Item[int]{}, false
	}
	it := f.items[0]
	f.items = f.items[1:]
	return it, true
}

// serviceGap tracks the difference in normalized service between two accounts while both have
// items queued.
type serviceGap struct{ diff, minDiff, maxDiff float64 }

// checker verifies the bound stated in the package comment for each pair of accounts, that an
// item leaves exactly once, and that pop returns an item whenever one is queued.
type checker struct {
	accounts  []Account
	queued    []int
	maxCost   []float64
	gaps      map[[2]int]*serviceGap
	accountOf map[int]int // account index by item value, for the queued items
}

func newChecker(accounts []Account) *checker {
	n := len(accounts)
	return &checker{accounts, make([]int, n), make([]float64, n), map[[2]int]*serviceGap{}, map[int]int{}}
}

func (c *checker) recordPush(a int, it Item[int]) {
	c.queued[a]++
	c.maxCost[a] = max(c.maxCost[a], it.Cost)
	c.accountOf[it.Value] = a
}

func (c *checker) recordPop(it Item[int], ok bool) error {
	if !ok {
		if len(c.accountOf) > 0 {
			return fmt.Errorf("pop returned no item although %d are queued", len(c.accountOf))
		}
		return nil
	}
	a, found := c.accountOf[it.Value]
	if !found {
		return fmt.Errorf("item %d popped twice or never pushed", it.Value)
	}
	delete(c.accountOf, it.Value)
	if err := c.recordService(a, it.Cost/c.accounts[a].Weight); err != nil {
		return err
	}
	c.queued[a]--
	for pair := range c.gaps {
		if c.queued[pair[0]] == 0 || c.queued[pair[1]] == 0 {
			delete(c.gaps, pair)
		}
	}
	return nil
}

// recordService adds normalized service to the gaps of account a and returns an error if one
// exceeds its bound.
func (c *checker) recordService(a int, service float64) error {
	for b := range c.accounts {
		if b == a || c.queued[b] == 0 || c.accounts[a].Class != c.accounts[b].Class {
			continue
		}
		pair, sign := [2]int{a, b}, 1.0
		if b < a {
			pair, sign = [2]int{b, a}, -1.0
		}
		s, ok := c.gaps[pair]
		if !ok {
			s = &serviceGap{}
			c.gaps[pair] = s
		}
		s.diff += sign * service
		s.minDiff, s.maxDiff = min(s.minDiff, s.diff), max(s.maxDiff, s.diff)
		bound := c.maxCost[a]/c.accounts[a].Weight + c.maxCost[b]/c.accounts[b].Weight
		if s.maxDiff-s.minDiff > bound+1e-6 {
			return fmt.Errorf("service of accounts %d and %d differs by %.1f, bound %.1f", a, b, s.maxDiff-s.minDiff, bound)
		}
	}
	return nil
}

// runRandomOperations pushes bursts of items and pops items at random. It returns the first
// violation.
func runRandomOperations(t *rapid.T, s scheduler) error {
	accounts := make([]Account, 5)
	costs := make([]float64, len(accounts))
	for i := range accounts {
		weight := rapid.Float64Range(0.5, 4).Draw(t, "weight")
		accounts[i] = Account{ID: fmt.Sprint(i), Class: i % 2, Weight: weight}
		costs[i] = rapid.Float64Range(1, 100).Draw(t, "max cost")
	}
	c := newChecker(accounts)
	var serial int
	for range 60 {
		a := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
		for range rapid.IntRange(0, 12).Draw(t, "burst") {
			it := Item[int]{Account: accounts[a], Value: serial}
			it.Cost = costs[a] * rapid.Float64Range(0.1, 1).Draw(t, "cost")
			serial++
			s.push(it)
			c.recordPush(a, it)
		}
		for range rapid.IntRange(0, 8).Draw(t, "pops") {
			if err := c.recordPop(s.pop()); err != nil {
				return err
			}
		}
	}
	for len(c.accountOf) > 0 {
		if err := c.recordPop(s.pop()); err != nil {
			return err
		}
	}
	return nil
}

func newTestQueue(maxLen int) *Queue[int] {
	return New[int](epoch, Config{Classes: []Class{{Weight: 4}, {Weight: 1}}, MaxLen: maxLen})
}

// TestFairnessBound checks the bound on the service difference between accounts and that no
// account state remains once the queue is empty.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(100000)
		must.NoError(t, runRandomOperations(t, fairScheduler{q}))
		must.Eq(t, 0, q.Len())
		must.Eq(t, 0, q.Accounts())
	})
}

// TestCheckerCatchesFIFO checks that the checker detects an unfair order.
func TestCheckerCatchesFIFO(t *testing.T) {
	var caught int
	rapid.Check(t, func(t *rapid.T) {
		if runRandomOperations(t, &fifoScheduler{}) != nil {
			caught++
		}
	})
	must.Greater(t, 90, caught, must.Sprint("violations caught in 100 runs"))
}

// TestConservation performs all operations in random order; each accepted item must leave
// exactly once.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](epoch, Config{Classes: []Class{{4}, {1}, {1}}, MaxLen: 40, Rate: 10})
		now := epoch
		handles := map[int]Handle[int]{}
		recordRemoval := func(it Item[int]) {
			_, ok := handles[it.Value]
			must.True(t, ok, must.Sprintf("item %d was removed twice", it.Value))
			delete(handles, it.Value)
		}
		for serial := range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			account := Account{
				ID:     fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id")),
				Class:  rapid.IntRange(0, 2).Draw(t, "class"),
				Weight: rapid.Float64Range(0.5, 2).Draw(t, "weight"),
			}
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1, 2:
				it := Item[int]{Account: account, Value: serial, Cost: rapid.Float64Range(1, 30).Draw(t, "cost")}
				it.StartBy = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
				if h, err := q.Push(now, it); err == nil {
					handles[serial] = h
				}
			case 3:
				it, ok := q.Pop()
				must.Eq(t, len(handles) > 0, ok)
				if ok {
					recordRemoval(it)
				}
			case 4:
				for _, h := range handles {
					recordRemoval(h.entry.item)
					must.True(t, q.Cancel(h))
					must.False(t, q.Cancel(h))
					break
				}
			case 5:
				q.Charge(account, rapid.Float64Range(-30, 30).Draw(t, "delta"))
				for _, it := range q.Expire(now) {
					recordRemoval(it)
				}
				must.SliceEmpty(t, q.Expire(now))
			}
			must.Eq(t, len(handles), q.Len())
		}
		for it, ok := q.Pop(); ok; it, ok = q.Pop() {
			recordRemoval(it)
		}
		must.MapEmpty(t, handles)
		must.Eq(t, 0, q.Accounts())
	})
}
