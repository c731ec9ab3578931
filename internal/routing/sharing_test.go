package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSharingKeyDependsOnIsolatedAccounts guards against keys that stay the same when an account is isolated, or that
// change, so that parts are computed again, when something else of the configuration does.
func TestSharingKeyDependsOnIsolatedAccounts(t *testing.T) {
	key := func(isolated ...string) string {
		c := &Config{Accounts: []Account{{Name: "open"}}}
		for _, name := range isolated {
			c.Accounts = append(c.Accounts, Account{Name: name, Isolated: true})
		}
		return c.Index().SharingKey()
	}
	must.Eq(t, "", key())
	must.Eq(t, key("a", "b"), key("b", "a"))
	must.Eq(t, key("a"), (&Config{Version: 7, Accounts: []Account{{Name: "a", Isolated: true}}}).Index().SharingKey())
	distinct := map[string]bool{key(): true, key("a"): true, key("b"): true, key("a", "b"): true, key("ab"): true}
	must.MapLen(t, 5, distinct)
}
