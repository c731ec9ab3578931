package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/fault"
)

// post serves a request in memory. The code is 0 if the connection was dropped.
func post(ctx context.Context, s *Service, path, id, body string) (rec *httptest.ResponseRecorder) {
	rec = httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			rec.Code = 0
		}
	}()
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx)
	req.Header.Set(HeaderBodyID, id)
	s.Handler().ServeHTTP(rec, req)
	return rec
}

func TestExecute_CountsEach(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	cases := []struct {
		faults Faults
		id     string
		status int
		count  int // count of id after the call
	}{
		{Faults{}, "x", 200, 1},
		{Faults{}, "x", 200, 2},
		{Faults{}, "y", 200, 1},
		{Faults{FailBefore: true}, "x", 503, 2},
		{Faults{LoseResponses: true}, "x", 0, 3},
		{Faults{Process: fault.Process{Dead: true}}, "x", 0, 3},
	}
	for _, c := range cases {
		s.Faults.Set(c.faults)
		rec := post(t.Context(), s, "/batch", c.id, "hello")
		must.Eq(t, c.status, rec.Code)
		call := Call{http.MethodPost, "/batch", c.id}
		must.SliceContains(t, s.Executions(), Execution{call, c.count})
		if rec.Code != http.StatusOK {
			continue
		}
		var got Answer
		must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &got))
		must.Eq(t, Answer{call, c.count, 5, "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"}, got)
	}
	s.Faults.Set(Faults{})
	rec := httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, PathExecutions, nil))
	var listed []Execution
	must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &listed))
	must.Eq(t, []Execution{{Call{"POST", "/batch", "x"}, 3}, {Call{"POST", "/batch", "y"}, 1}}, listed)
}

func TestExecute_FrozenOrAbandonedMidwayStillRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ExecuteTime: time.Second})
		defer s.Close()
		time.AfterFunc(time.Second/2, func() { s.Faults.Set(Faults{Process: fault.Process{Frozen: true}}) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		must.Eq(t, 0, post(ctx, s, "/batch", "x", "").Code)
		must.Eq(t, time.Minute, time.Since(began))
		must.Eq(t, 1, s.Executions()[0].Count)
	})
}
