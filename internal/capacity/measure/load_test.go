package measure

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/demo"
)

const (
	promptText = "pass or hold? "
	settleTime = 500 * time.Millisecond // time for releases and offers to be sent
)

// Batch is a number of similar prompts, sent to the nodes in rotation.
type Batch struct {
	Requests      int
	Prompt        int // bytes
	MaxTokens     int
	MaxConcurrent int // concurrent requests
}

type body struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Send sends a batch and returns after all requests have been answered and released.
func (f *Fleet) Send(ctx context.Context, b Batch, label string) error {
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(b.MaxConcurrent)
	for i := range b.Requests {
		group.Go(func() error {
			head := label + " " + strconv.Itoa(i) + " "
			text := (head + strings.Repeat(promptText, b.Prompt/len(promptText)+1))[:max(b.Prompt, len(head))]
			return f.send(inner, f.Nodes[i%len(f.Nodes)], i, &body{Model: demo.Model, Prompt: text, MaxTokens: b.MaxTokens, Stream: true})
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	retry.Sleep(ctx, settleTime)
	return nil
}

func (f *Fleet) send(ctx context.Context, p *Process, i int, b *body) error {
	data, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/v1/completions", strings.NewReader(string(data)))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+demo.KeyOf(demo.Accounts[i%len(demo.Accounts)]))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(answer), "[DONE]") {
		return eris.Errorf("status %d: %.200s", resp.StatusCode, answer)
	}
	return nil
}

// knowsAccounts reports whether a node has received the accounts, which may be shortly after it
// reports to be ready.
func (p *Process) knowsAccounts(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callers+"/v1/models", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+demo.KeyOf(demo.Accounts[0]))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
