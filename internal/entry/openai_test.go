package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/runs"
)

// BenchmarkLongPrompt measures the steps that process a 32 KB prompt before an
// endpoint is selected for it.
func BenchmarkLongPrompt(b *testing.B) {
	text := strings.Repeat("pass or hold?\n", 32_000/14)
	body := fmt.Sprintf(`{"model":"m","stream":true,"prompt":%q}`, text)
	steps := map[string]func(){
		"decode": func() {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
			var into completionRequest
			must.NoError(b, decodeBody(echo.New().NewContext(r, httptest.NewRecorder()), 1<<20, &into))
		},
		"fingerprint": func() { (&runs.Request{Prompt: text}).SetVersion("v1") },
		"draw":        func() { (&runs.Request{Prompt: text}).VersionDraw() },
		"encode": func() {
			_, err := json.Marshal(&enginewire.RunRequest{Prompt: text})
			must.NoError(b, err)
		},
	}
	for _, name := range []string{"decode", "fingerprint", "draw", "encode"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				steps[name]()
			}
		})
	}
}
