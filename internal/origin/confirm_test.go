package origin

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestConfirmWaitsForALaterRead checks that a read which is under way confirms nothing for those who ask meanwhile.
func TestConfirmWaitsForALaterRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 100 * time.Millisecond
		var mu sync.Mutex
		var sent []time.Time
		latest := func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return sent[len(sent)-1]
		}
		c := confirmer{now: time.Now, spacing: func() time.Duration { return time.Millisecond }, read: func(context.Context) error {
			mu.Lock()
			sent = append(sent, time.Now())
			mu.Unlock()
			time.Sleep(took)
			return nil
		}}
		for i := range 10 {
			go func() {
				time.Sleep(time.Duration(i) * took / 4)
				asked := time.Now()
				test.NoError(t, c.confirm(t.Context()))
				test.False(t, asked.After(latest()))
				test.LessEq(t, 2*took+time.Millisecond, time.Since(asked))
			}()
		}
		time.Sleep(10 * took)
		mu.Lock()
		defer mu.Unlock()
		test.Less(t, 6, len(sent), test.Sprint("reads are shared"))
	})
}
