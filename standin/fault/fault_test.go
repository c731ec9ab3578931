package fault

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

type faults struct {
	Process
	Loud bool `json:"loud"`
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// call serves a request and returns the status, or 0 if the connection was dropped.
func call(h http.Handler, method, path, body string) (status int, answer string) {
	defer func() {
		if recover() == http.ErrAbortHandler {
			status = 0
		}
	}()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	return rec.Code, strings.TrimSpace(rec.Body.String())
}

func TestSwitch_OverHTTP(t *testing.T) {
	var s Switch[faults]
	done := 0
	h := s.Gate(ok, ActionOf("kick", func() { done++ }))
	changed := s.Changed()
	status, answer := call(h, http.MethodPost, Path, `{"loud":true}`)
	must.Eq(t, 200, status)
	must.Eq(t, `{"dead":false,"frozen":false,"delay_ms":0,"loud":true}`, answer)
	<-changed
	call(h, http.MethodPost, Path, `{"dead":true}`)
	must.Eq(t, faults{Process{Dead: true}, true}, s.Get())
	status, _ = call(h, http.MethodGet, "/work", "")
	must.Eq(t, 0, status)
	status, _ = call(h, http.MethodPost, Path+"/kick", "")
	must.Eq(t, []int{204, 1}, []int{status, done})
	status, _ = call(h, http.MethodPost, Path, `{"dead":false,"lod":true}`)
	must.Eq(t, 400, status)
	must.True(t, s.Get().Dead)
	s.Set(faults{})
	status, _ = call(h, http.MethodGet, "/work", "")
	must.Eq(t, 200, status)
}

func TestGate_FrozenAndDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Switch[faults]
		h := s.Gate(ok)
		s.Set(faults{Process: Process{Frozen: true, DelayMS: 5}})
		began := time.Now()
		time.AfterFunc(time.Hour, func() { s.Update(func(f *faults) { f.Frozen = false }) })
		status, _ := call(h, http.MethodGet, "/work", "")
		must.Eq(t, 200, status)
		must.Eq(t, time.Hour+5*time.Millisecond, time.Since(began))
		s.Set(faults{Process: Process{Frozen: true}})
		time.AfterFunc(time.Hour, func() { s.Update(func(f *faults) { f.Dead = true }) })
		status, _ = call(h, http.MethodGet, "/work", "")
		must.Eq(t, 0, status)
	})
}
