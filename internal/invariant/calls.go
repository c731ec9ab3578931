package invariant

import (
	"errors"
	"fmt"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// AtMostOnce checks that no call that is not idempotent was executed more than once.
func AtMostOnce(executions []Execution) error {
	var errs []error
	for _, e := range executions {
		if !e.Idempotent && e.Count > 1 {
			errs = append(errs, fmt.Errorf("call %s: executed %d times", e.BodyID, e.Count))
		}
	}
	return errors.Join(errs...)
}

// NotRunCalls checks that run states not_run are true: a call is executed at most as often as it was
// sent without such a response.
func NotRunCalls(calls []Call, executions []Execution) error {
	possible := make(map[string]int)
	for _, c := range calls {
		if c.RunState != result.NotRun {
			possible[c.BodyID]++
		}
	}
	var errs []error
	for _, e := range executions {
		if !e.Idempotent && e.Count > possible[e.BodyID] {
			errs = append(errs, fmt.Errorf("call %s: executed %d times, but all except %d requests were answered not_run", e.BodyID, e.Count, possible[e.BodyID]))
		}
	}
	return errors.Join(errs...)
}

// LeavingIdle checks that an endpoint receives no new run more than 3 seconds after it was published
// as leaving.
func LeavingIdle(leaves []Leave, starts []RunStart) error {
	var errs []error
	for _, l := range leaves {
		count, latest := 0, time.Duration(0)
		for _, s := range starts {
			if late := s.At.Sub(l.At); s.Endpoint == l.Endpoint && late > leavingLimit {
				count, latest = count+1, max(latest, late)
			}
		}
		if count > 0 {
			errs = append(errs, fmt.Errorf("endpoint %s: %d new runs, the last %s after it was published as leaving", l.Endpoint, count, latest.Round(time.Millisecond)))
		}
	}
	return errors.Join(errs...)
}

// RightBlocks checks that no engine imported the bytes of another block.
func RightBlocks(wrong int) error {
	if wrong == 0 {
		return nil
	}
	return fmt.Errorf("%d imports received another block's bytes", wrong)
}
