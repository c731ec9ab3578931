package platformlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/logwire"
	"github.com/cherryward/cherryward/standin/fault"
)

// call serves a request in memory. The code is 0 if the connection was dropped.
func call(l *Log, method, path string, body []byte) (rec *httptest.ResponseRecorder) {
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			rec.Code = 0
		} else if p != nil {
			panic(p)
		}
	}()
	l.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return rec
}

func appendTo(l *Log, stream string, data []byte) *httptest.ResponseRecorder {
	body, err := json.Marshal(logwire.AppendRequest{Data: data})
	if err != nil {
		panic(err)
	}
	return call(l, http.MethodPost, logwire.PathStreams+stream+"/records", body)
}

func decode[T any](t *testing.T, r io.Reader) (out T) {
	t.Helper()
	must.NoError(t, json.NewDecoder(r).Decode(&out))
	return out
}

func read(t *testing.T, l *Log, stream, query string) logwire.ReadResponse {
	t.Helper()
	rec := call(l, http.MethodGet, logwire.PathStreams+stream+"/records?"+query, nil)
	must.Eq(t, http.StatusOK, rec.Code)
	return decode[logwire.ReadResponse](t, rec.Body)
}

func TestAppendRead(t *testing.T) {
	l := New(Config{})
	defer l.Close()
	for i := range 5 {
		rec := appendTo(l, "config", fmt.Append(nil, i))
		must.Eq(t, int64(i), decode[logwire.AppendResponse](t, rec.Body).Offset)
	}
	got := read(t, l, "config", "from=1&max=2")
	want := []logwire.Record{{Offset: 1, Data: []byte("1")}, {Offset: 2, Data: []byte("2")}}
	must.Eq(t, logwire.ReadResponse{Records: want, First: 0, Next: 5}, got)
	must.Eq(t, logwire.ReadResponse{}, read(t, l, "claims", "from=0"))
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{KeepRecords: 3, KeepFor: time.Minute})
		defer l.Close()
		for range 5 {
			appendTo(l, "s", []byte("x"))
			time.Sleep(25 * time.Second)
		}
		got := read(t, l, "s", "from=0") // at 125 s: the records of 75 s and 100 s are left
		must.Eq(t, []int64{3, 5, 2}, []int64{got.First, got.Next, int64(len(got.Records))})
		must.Eq(t, 204, call(l, http.MethodPost, fault.Path+"/retain?stream=s&offset=4", nil).Code)
		must.Eq(t, 4, read(t, l, "s", "from=0").First)
		time.Sleep(time.Hour)
		must.Eq(t, logwire.ReadResponse{First: 5, Next: 5}, read(t, l, "s", "from=0"))
		must.Eq(t, 5, decode[logwire.AppendResponse](t, appendTo(l, "s", nil).Body).Offset)
	})
}

func TestAppend_Limits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{AppendsPerSecond: 10, Burst: 2})
		defer l.Close()
		var codes []int
		for range 4 {
			codes = append(codes, appendTo(l, "s", nil).Code)
		}
		must.Eq(t, []int{200, 200, 429, 429}, codes)
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 200, appendTo(l, "other", nil).Code)
		refused := appendTo(l, "other", nil)
		must.Eq(t, codeRate, decode[logwire.Error](t, refused.Body).Code)
		time.Sleep(time.Minute)
		must.Eq(t, 200, appendTo(l, "s", make([]byte, MaxRecordBytes)).Code)
		for _, size := range []int{MaxRecordBytes + 1, 10 * MaxRecordBytes} {
			must.Eq(t, codeTooLarge, decode[logwire.Error](t, appendTo(l, "s", make([]byte, size)).Body).Code)
		}
		must.Eq(t, 400, call(l, http.MethodPost, logwire.PathStreams+"s/records", []byte("{")).Code)
		must.Eq(t, 400, call(l, http.MethodGet, logwire.PathStreams+"s/records?from=x", nil).Code)
		must.Eq(t, 3, read(t, l, "s", "").Next)
	})
}

func TestRead_LongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		defer l.Close()
		began := time.Now()
		must.SliceEmpty(t, read(t, l, "s", "wait_ms=3000").Records)
		must.Eq(t, 3*time.Second, time.Since(began))
		time.AfterFunc(time.Second, func() { appendTo(l, "s", []byte("x")) })
		must.Len(t, 1, read(t, l, "s", "wait_ms=60000").Records)
		must.Eq(t, 4*time.Second, time.Since(began))
		time.AfterFunc(time.Second, func() { l.Faults.Set(Faults{Outage: true}) })
		must.Eq(t, 0, call(l, http.MethodGet, logwire.PathStreams+"s/records?from=1&wait_ms=60000", nil).Code)
		must.Eq(t, 5*time.Second, time.Since(began))
		l.Faults.Set(Faults{})
		time.AfterFunc(time.Second, l.Close)
		must.SliceEmpty(t, read(t, l, "s", "from=1&wait_ms=60000").Records)
		must.Eq(t, 6*time.Second, time.Since(began))
	})
}

func TestFaults(t *testing.T) {
	l := New(Config{})
	defer l.Close()
	set := func(body string) {
		l.Faults.Set(Faults{})
		must.Eq(t, 200, call(l, http.MethodPost, fault.Path, []byte(body)).Code)
	}
	set(`{"lose_answer_every":2}`)
	codes := []int{appendTo(l, "s", nil).Code, appendTo(l, "s", nil).Code, appendTo(l, "s", nil).Code}
	must.Eq(t, []int{200, 0, 200}, codes)
	must.Len(t, 3, read(t, l, "s", "").Records)
	set(`{"outage":true}`)
	refused := appendTo(l, "s", nil)
	must.Eq(t, 503, refused.Code)
	must.Eq(t, codeUnavailable, decode[logwire.Error](t, refused.Body).Code)
	set(`{"dead":true}`)
	must.Eq(t, 0, appendTo(l, "s", nil).Code)
	set(`{}`)
	must.Eq(t, 3, read(t, l, "s", "").Next)
}

func TestFaults_ReadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		defer l.Close()
		l.Faults.Set(Faults{ReadLagMS: 2000})
		appendTo(l, "s", nil)
		time.Sleep(1500 * time.Millisecond)
		appendTo(l, "s", nil)
		must.Eq(t, logwire.ReadResponse{}, read(t, l, "s", ""))
		began := time.Now()
		must.Len(t, 1, read(t, l, "s", "wait_ms=60000").Records)
		must.Eq(t, 500*time.Millisecond, time.Since(began))
		must.Eq(t, 1, read(t, l, "s", "").Next)
		l.Faults.Set(Faults{})
		must.Eq(t, 2, read(t, l, "s", "").Next)
	})
}
