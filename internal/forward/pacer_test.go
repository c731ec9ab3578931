package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestPacerLimitsAllAnswersTogether guards against bodies without end that each have a rate of their own.
func TestPacerLimitsAllAnswersTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, answers, blocks = 1 << 20, 8, 16
		p := NewPacer(rate)
		began := time.Now()
		done := make(chan struct{})
		for range answers {
			go func() {
				for range blocks {
					p.await(t.Context(), rate/blocks)
				}
				done <- struct{}{}
			}()
		}
		for range answers {
			<-done
		}
		must.Eq(t, answers*time.Second, time.Since(began))
		time.Sleep(time.Minute)
		began = time.Now()
		p.await(t.Context(), rate) // an idle time earns nothing
		must.Eq(t, time.Second, time.Since(began))
	})
}
