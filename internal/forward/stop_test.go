package forward_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// stoppingHandler returns a handler in front of two plain servers, or two engines, whose node can stop.
func stoppingHandler(t *testing.T, model string) *testHandler {
	h := newMemoryHandler(t, model, model)
	h.handler.Stop = forward.NewStop()
	return h
}

func (h *testHandler) runs() (count int) {
	for _, s := range h.servers {
		count += len(s.Runs())
	}
	return count
}

// TestLateRequestOfStoppingNode guards against requests that come when callers use other nodes, and are cut at the end
// of this one. The deadline of the requests is in 4 s.
func TestLateRequestOfStoppingNode(t *testing.T) {
	for endsIn, status := range map[time.Duration]int{3 * time.Second: http.StatusServiceUnavailable, 5 * time.Second: http.StatusOK} {
		t.Run(endsIn.String(), virtual(func(t *testing.T) {
			h := stoppingHandler(t, "")
			now := time.Now()
			h.handler.Stop.Begin(now, now.Add(endsIn))
			time.Sleep(time.Millisecond)
			got := h.do(t, http.MethodPost, uploadPath, "body", nil)
			test.Eq(t, status, got.status)
			test.Eq(t, status == http.StatusOK, h.runs() == 1)
		}))
	}
}

// TestRequestIsNotSentRightBeforeNodeEnds guards against requests that an endpoint gets when their node is about to
// end: here the second try of one that came before. The objective is 1 s.
func TestRequestIsNotSentRightBeforeNodeEnds(t *testing.T) {
	for endsIn, status := range map[time.Duration]int{500 * time.Millisecond: http.StatusBadGateway, time.Minute: http.StatusOK} {
		t.Run(endsIn.String(), func(t *testing.T) {
			stop := forward.NewStop()
			var others atomic.Int64
			breaksOff := script{answer: func(*http.Request) string {
				now := time.Now()
				stop.Begin(now, now.Add(endsIn))
				return ""
			}}
			other := script{answer: func(*http.Request) string {
				others.Add(1)
				return head(http.StatusOK, contentLength(0))
			}}
			h := newRawTestHandler(t, breaksOff, other)
			h.handler.Stop = stop
			test.Eq(t, status, h.do(t, http.MethodGet, recordPath, "", nil).status)
			test.Eq(t, status == http.StatusOK, others.Load() == 1)
		})
	}
}

// TestRequestsInProgressGetAnswersWhenNodeEnds guards against closed connections in place of answers at the end of a node.
func TestRequestsInProgressGetAnswersWhenNodeEnds(t *testing.T) {
	tests := []struct {
		path, model string
		faults      modelserver.Faults
	}{
		{path: uploadPath, faults: modelserver.Faults{Hang: true}},
		{path: recordPath, faults: modelserver.Faults{Hang: true}},
		{path: resumePath, model: "m", faults: modelserver.Faults{Hang: true}},
	}
	for _, tc := range tests {
		t.Run(strings.Trim(tc.path, "/"), virtual(func(t *testing.T) {
			h := stoppingHandler(t, tc.model)
			h.servers[0].SetFaults(tc.faults)
			answered := make(chan response)
			go func() { answered <- h.do(t, http.MethodPost, tc.path, "body", nil) }()
			synctest.Wait()
			ended := time.Now()
			h.handler.Stop.End()
			got := <-answered
			must.NoError(t, got.err)
			test.Eq(t, http.StatusBadGateway, got.status)
			test.StrContains(t, got.body, "may_have_run")
			test.Eq(t, 1, h.runs())
			test.Zero(t, time.Since(ended))
		}))
	}
}
