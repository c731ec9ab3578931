package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/hostplan"
)

// headOf returns the head of an answer with n fields of the given length.
func headOf(n, valueBytes int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "X-%d: %s\r\n", i, strings.Repeat("v", valueBytes))
	}
	return "HTTP/1.1 200 OK\r\n" + b.String() + "Content-Length: 0\r\n\r\n"
}

// TestHeadsOfAnswersTogetherAreBounded guards against heads that are each within their bound and together take a host's
// memory, and against memory that is not given back.
func TestHeadsOfAnswersTogetherAreBounded(t *testing.T) {
	const valueBytes, fields = 1 << 10, 40
	large := startEndpoint(t, fixedAnswers(headOf(fields, valueBytes)))
	ordinary := startEndpoint(t, fixedAnswers(headOf(10, 10)))
	heads := hostplan.NewPool(3 * valueBytes * fields)
	large.Heads, ordinary.Heads = heads, heads
	first := get(t, large)
	must.Positive(t, heads.Used())
	_, err := large.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}, acceptAny)
	var excess *ExcessError
	must.True(t, errors.As(err, &excess), must.Sprint(err))
	get(t, ordinary).Abort()
	_, err = io.Copy(io.Discard, first.Body)
	must.NoError(t, err)
	first.Done()
	must.Zero(t, heads.Used())
	again := get(t, large)
	must.Positive(t, heads.Used())
	again.Abort()
	must.Zero(t, heads.Used())
}

// TestManyFieldsEnd guards against a head of many short fields, which take far more memory than their bytes.
func TestManyFieldsEnd(t *testing.T) {
	for fields, ok := range map[int]bool{200: true, 300: false} {
		p := startEndpoint(t, fixedAnswers(headOf(fields, 1)))
		a, err := p.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}, acceptAny)
		must.Eq(t, ok, err == nil, must.Sprint(err))
		if ok {
			a.Abort()
		}
	}
}
