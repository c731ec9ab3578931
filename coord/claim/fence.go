package claim

import (
	"errors"
	"fmt"
	"sync"
)

// ErrStale is returned for an order whose token is lower than one already accepted.
var ErrStale = errors.New("claim: token is lower than one already accepted")

// Fence checks fencing tokens on the side of an endpoint. The zero value is ready for use. Its
// state is lost when the endpoint restarts; until the first order of the current holder it then
// accepts a late order of an earlier holder, which a [Reconciler] corrects.
type Fence struct {
	mu      sync.Mutex
	highest map[string]int64
}

// Check accepts an order for the resource, or returns an error that wraps ErrStale if the token
// is lower than the highest one accepted for the resource.
func (f *Fence) Check(resource string, token int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest, ok := f.highest[resource]; ok && token < highest {
		return fmt.Errorf("%w: got %d, highest accepted is %d", ErrStale, token, highest)
	}
	if f.highest == nil {
		f.highest = make(map[string]int64)
	}
	f.highest[resource] = token
	return nil
}
