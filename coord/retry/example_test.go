package retry_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

func Example() {
	budget := retry.NewBudget(time.Now(), retry.DefaultBudget)
	policy := retry.NewPolicy(budget, retry.DefaultIntervals)
	call := retry.Call{Deadline: time.Now().Add(time.Minute), MinTime: time.Second}
	err := policy.Do(context.Background(), call, func(_ context.Context, a retry.Attempt) error {
		return &retry.AttemptError{State: retry.NotRun, Err: errors.New("connection refused")}
	})
	var gaveUp *retry.GaveUpError
	if errors.As(err, &gaveUp) {
		fmt.Println(gaveUp)
		fmt.Println(gaveUp.State, gaveUp.RetryAfter > 0)
	}
	// Output:
	// retry: retry budget exhausted (attempts: 1): not_run: connection refused
	// not_run true
}
