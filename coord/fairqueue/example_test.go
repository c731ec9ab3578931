package fairqueue_test

import (
	"fmt"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := fairqueue.New[string](now, fairqueue.Config{
		Classes: []fairqueue.Class{{Weight: 8}, {Weight: 1}},
		MaxLen:  100,
		Rate:    1000,
	})
	foundry := fairqueue.Account{ID: "foundry", Weight: 1}
	clerk := fairqueue.Account{ID: "clerk", Weight: 1}
	for i := range 3 {
		it := fairqueue.Item[string]{Account: foundry, Cost: 4000, Value: fmt.Sprint("foundry ", i)}
		if _, err := q.Push(now, it); err != nil {
			fmt.Println(err)
		}
	}
	soon := now.Add(5 * time.Second)
	if _, err := q.Push(now, fairqueue.Item[string]{Account: clerk, Cost: 500, StartBy: soon, Value: "clerk"}); err != nil {
		fmt.Println(err)
	}
	_, err := q.Push(now, fairqueue.Item[string]{Account: foundry, Cost: 500, StartBy: soon, Value: "late"})
	fmt.Println(err)
	for it, ok := q.Pop(); ok; it, ok = q.Pop() {
		fmt.Println(it.Value)
	}
	// Output:
	// fairqueue: deadline cannot be met: predicted wait 12.5s, retry after 7.5s
	// foundry 0
	// clerk
	// foundry 1
	// foundry 2
}
