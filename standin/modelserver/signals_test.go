package modelserver

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestSignalsAreInAllAnswers checks that every kind of response, including raw ones, contains the
// state headers: nodes take a response without Server-Limit as the end of the limit.
func TestSignalsAreInAllAnswers(t *testing.T) {
	answers := map[string]Faults{"whole": {}, "unframed": {Unframed: true}, "foreign": {ResponseOfOtherBefore: true}, "extra": {ResponseOfOtherAfter: true}, "error": {Status: http.StatusInternalServerError}, "refusal": {RejectRequests: true}}
	headless := []Endless{EndlessInterim, EndlessGarbage, EndlessHeader}
	for _, form := range EndlessForms() {
		if !slices.Contains(headless, form) {
			answers["endless "+form.String()] = Faults{Endless: form}
		}
	}
	for name, f := range answers {
		s := New(Config{ID: "s", Model: "m", StreamEvents: 1})
		f.Limit, f.Draining = "2.5", "1"
		s.SetFaults(f)
		served := httptest.NewServer(s.Handler())
		resp, err := http.Get(served.URL + "/x")
		must.NoError(t, err, must.Sprint(name))
		resp.Body.Close()
		test.Eq(t, "2.5", resp.Header.Get("Server-Limit"), test.Sprint(name))
		test.Eq(t, "1", resp.Header.Get("Server-Leaving"), test.Sprint(name))
		served.Close()
	}
}
