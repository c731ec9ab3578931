package placer_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestIsolation checks that an isolated account neither uses parts of other accounts nor shares its
// own.
func TestIsolation(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(1): shared(1, ""), store: shared(1, "other")}, 1, 1, 1)
	q := query()
	q.Account.Isolated = true
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Eq(t, salt(1, "yard"), p.Attempt.Salt)
	test.Nil(t, p.Attempt.Sources)
	test.Eq(t, 11500, p.PrefillTokens)
}

// TestPartsMadeBeforeIsolationAreNotUsed guards against parts that an account made before it was isolated and that other
// accounts go on using.
func TestPartsMadeBeforeIsolationAreNotUsed(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(1): shared(1, ""), store: shared(1, "")}, 1, 1, 1)
	q := query()
	q.Sharing = "others-isolated"
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.NotEq(t, salt(1, ""), p.Attempt.Salt)
	test.Nil(t, p.Attempt.Sources)
	test.Eq(t, 11500, p.PrefillTokens)
}
