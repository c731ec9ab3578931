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
	mu     sync.Mutex
	newest map[string]int64
}

// Check accepts an order for the resource, or returns an error that wraps ErrStale if the token
// is lower than the highest one accepted for the resource.
func (f *Fence) Check(resource string, token int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest, ok := f.newest[resource]; ok && token < newest {
		return fmt.Errorf("%w: got %d, highest accepted is %d", ErrStale, token, newest)
	}
	if f.newest == nil {
		f.newest = make(map[string]int64)
	}
	f.newest[resource] = token
	return nil
}
