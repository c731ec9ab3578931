package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// FuzzReceiveOthers checks that any data for the messages between failure domains, or for a notice, yields an error or sums
// that are not negative.
func FuzzReceiveOthers(f *testing.F) {
	for _, seed := range []string{
		`{"node":"n","domain":"d","incarnation":1,"seq":1,"nodes":3}`, `{"node":"n","domain":"d","nodes":-1}`, `{"node":"n","endpoint":"e","seq":1,"prompt":5,"held":7}`,
		`{"node":"n","domain":"d","loads":"AAAA","limits":[{}],"brittle":[{}]}`, `{"node":"n","domain":"d","seq":1e400}`, `{"domain":[[[]]]}`, "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newNoticeReceiver()
		_, _ = e.receiveNotice(data)       // an error is as good as a result
		_, _ = e.receiveDomainDigest(data) // the same
		if _, err := e.receiveDomainLoad(data); err != nil {
			return
		}
		for _, sum := range e.Table.Loads(time.Now()).reported {
			test.True(t, sum.Running >= 0 && sum.PendingPromptTokens >= 0 && sum.HeldTokens >= 0)
		}
	})
}
