package handoff_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/handoff"
)

// headers returns a header that has been written for each of the two values.
func headers(t testing.TB) (envelope, refusal string) {
	t.Helper()
	h := make(http.Header)
	must.NoError(t, (&handoff.Envelope{From: "n", Attempts: 1}).Set(h))
	must.MapLen(t, 1, h)
	for name := range h {
		envelope = name
	}
	h = make(http.Header)
	must.NoError(t, handoff.Refusal{}.Set(h))
	for name := range h {
		refusal = name
	}
	return envelope, refusal
}

// FuzzRead checks that an envelope or refusal of another node is rejected, or states times that are not negative.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		`{"from":"n","left_ms":5,"age_ms":1,"attempts":1}`, `{"from":"n","left_ms":9223372036854775807,"age_ms":9223372036854775807,"attempts":1}`,
		`{"from":"n","left_ms":1e400,"attempts":1}`, `{"code":3015,"run_state":"not_run","retry_after_ms":9223372036854775807}`,
		`{"code":1e400,"run_state":"not_run"}`, `{"code":3015,"run_state":"not_run","retry_after_ms":-1}`, "null", "", strings.Repeat("[", 200) + strings.Repeat("]", 200),
	} {
		f.Add(seed)
	}
	envelopeName, refusalName := headers(f)
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{envelopeName: {text}, refusalName: {text}}
		if e, err := handoff.Read(h); err == nil {
			test.True(t, e.Left() >= 0 && e.Age() >= 0 && e.Attempts >= 1, test.Sprintf("%+v: left %s, age %s", e, e.Left(), e.Age()))
		}
		if r := handoff.ReadRefusal(h); r != nil {
			err := r.Error()
			test.True(t, err.RetryAfter >= 0 && err.RunState.Valid(), test.Sprintf("%+v", err))
		}
	})
}
