package result

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTable(t *testing.T) {
	must.True(t, slices.IsSortedFunc(table, func(a, b Info) int { return int(a.Code - b.Code) }))
	must.MapLen(t, len(table), byCode)
	must.MapLen(t, len(table), byName)
	for _, info := range table {
		must.True(t, info.RunState.Valid(), must.Sprint(info))
		must.NotEq(t, "", rangeTitles[int(info.Code)/codesPerRange], must.Sprint(info))
		must.Between(t, 400, info.Status, 504, must.Sprint(info))
		if info.Retry && info.Code != OutcomeUnknown {
			must.Eq(t, NotRun, info.RunState, must.Sprintf("%s: a safe retry needs not_run", info.Name))
		}
	}
}

func TestMarkdownCurrent(t *testing.T) {
	var want bytes.Buffer
	must.NoError(t, WriteMarkdown(&want))
	got, err := os.ReadFile("../../docs/RESULT-CODES.md")
	must.NoError(t, err)
	must.Eq(t, want.String(), string(got), must.Sprint("run: go run ./cmd/cherryctl codes --markdown > docs/RESULT-CODES.md"))
}

func TestBody(t *testing.T) {
	secret := errors.New("dial 10.0.0.7: secret")
	e := Wrap(secret, RequestRate, WithField("model"), WithMessage("limit is %d/s", 5), WithRetryAfter(1500*time.Microsecond))
	got, err := json.Marshal(e.Body("req-1"))
	must.NoError(t, err)
	must.Eq(t, `{"error":{"message":"limit is 5/s","type":"rate_limit_error","param":"model","code":"request_rate",`+
		`"number":2004,"run_state":"not_run","request_id":"req-1","retry_after_ms":2}}`, string(got))
	must.Eq(t, 1, e.RetryAfterSeconds())
	must.ErrorIs(t, e, secret)
	must.StrContains(t, e.Error(), "secret")
}

func TestFrom(t *testing.T) {
	own, other := New(ExecutorGone, WithRunState(NotRun)), errors.New("other")
	for _, tc := range []struct {
		err, cause error
		code       Code
	}{
		{fmt.Errorf("outer: %w", own), own, ExecutorGone},
		{fmt.Errorf("outer: %w", context.DeadlineExceeded), context.DeadlineExceeded, DeadlinePassed},
		{context.Canceled, context.Canceled, CallerDisconnected},
		{other, other, Internal},
	} {
		must.Eq(t, tc.code, From(tc.err).Code)
		must.ErrorIs(t, From(tc.err), tc.cause)
	}
	must.Eq(t, NotRun, From(fmt.Errorf("outer: %w", own)).RunState)
	must.True(t, Is(own, ExecutorGone))
	must.False(t, Is(own, Internal))
}

func TestLookup(t *testing.T) {
	byNumber, ok := Lookup("1015")
	must.True(t, ok)
	named, ok := Lookup("unknown_ticket")
	must.True(t, ok)
	must.Eq(t, byNumber, named)
	must.StrContains(t, named.Action, "POST /v1/tickets")
	_, ok = Lookup("1999")
	must.False(t, ok)
}

func TestParseText(t *testing.T) {
	for _, want := range []*Error{
		New(InvalidObject, WithField("endpoint.models[1]"), WithMessage("no model (or %s): x", "y")),
		New(StillReferenced),
	} {
		got, ok := ParseText(want.Error())
		must.True(t, ok)
		must.Eq(t, want.Error(), got.Error())
		must.Eq(t, want.Field, got.Field)
	}
	for _, text := range []string{"", "conflict", "9999 none: x", "50 x: y"} {
		_, ok := ParseText(text)
		must.False(t, ok, must.Sprint(text))
	}
}
