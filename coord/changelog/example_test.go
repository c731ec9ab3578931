package changelog_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// Two operators change the same limit concurrently through different nodes.
func Example() {
	ctx := context.Background()
	log := &logtest.Log{} // in place of the platform's log
	a := changelog.NewStore(log, limits{}, 0)
	b := changelog.NewStore(log, limits{}, 0)
	for _, s := range []*changelog.Store[limit]{a, b} {
		if err := s.LoadFromLog(ctx); err != nil {
			fmt.Println(err)
			return
		}
	}
	first := a.Snapshot().Put("limit", "acme", []byte(`{"per_second":20}`))
	second := b.Snapshot().Put("limit", "acme", []byte(`{"per_second":50}`))

	o, err := a.Propose(ctx, first)
	fmt.Println(o.Status, o.Revision, err)

	_, err = b.Propose(ctx, second)
	var conflict *changelog.ConflictError
	fmt.Println(errors.As(err, &conflict), conflict.Revision)

	// Make a new change, based on the current revision.
	second = b.Snapshot().Put("limit", "acme", []byte(`{"per_second":50}`))
	o, err = b.Propose(ctx, second)
	fmt.Println(o.Status, o.Revision, err)
	// Output:
	// accepted 1 <nil>
	// true 1
	// accepted 3 <nil>
}
