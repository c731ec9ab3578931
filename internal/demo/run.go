package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/store"
)

// Parameters of the demo. Two engines are fast and one is slow; the prefill speeds are in tokens per
// second. Their memories are small, so that a conversation's context is evicted soon.
const (
	demoNodes        = 3
	fastPrefill      = 40000
	slowPrefill      = 16000
	demoBlocks       = 8
	fillerBlocks     = 7 // blocks of a filler prompt, which evicts other contexts from an engine's memory
	fillerPerEngine  = 2
	demoTimeScale    = 1
	demoStoreSize    = 256 << 20
	turns            = 3
	turnGap          = 400 * time.Millisecond
	answerTokens     = 24
	configureTimeout = 30 * time.Second
	paragraphs       = 260
	blockChars       = 4 * 2048 // characters of text in one engine block
	fillerAccount    = "background"
)

func demoOptions(log zerolog.Logger) Options {
	config := func(prefill float64) engine.Config {
		return engine.Config{PrefillSpeed: prefill, CacheBlocks: demoBlocks, DecodeStep: 5 * time.Millisecond, TimeScale: demoTimeScale}
	}
	storeConfig := store.Config{MemoryBytes: demoStoreSize, DiskBytes: demoStoreSize}
	return Options{
		Nodes:   demoNodes,
		Engines: []engine.Config{config(fastPrefill), config(fastPrefill), config(slowPrefill)},
		Stores:  []store.Config{storeConfig, storeConfig},
		Log:     log,
	}
}

// Run starts a small system, runs conversations and prints for each turn the time to first token and the
// tokens recomputed and imported. If serve is true it then runs until ctx is done.
func Run(ctx context.Context, out io.Writer, log zerolog.Logger, serve bool) error {
	f, err := Start(demoOptions(log))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // errors during shutdown are ignored
	configure, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	took, err := f.Configure(configure)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d nodes, %d engines, %d stores; the last change was applied by all nodes after %s\n\n",
		len(f.Nodes), len(f.Engines), len(f.Stores), took.Round(time.Millisecond))
	if err := f.runConversations(ctx, out); err != nil {
		return err
	}
	if !serve {
		return nil
	}
	fmt.Fprintf(out, "\nTry it:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"pass or hold?\"}]}'\n",
		f.Nodes[0].URL(), KeyOf(Accounts[0]), Model)
	fmt.Fprintf(out, "  cherryctl --server http://%s --token %s status\n", f.Nodes[0].OperatorsAddr(), OperatorsKey)
	<-ctx.Done()
	return nil
}

// turn holds the measurements of one prompt, or their sums over several prompts, of which number is
// then the count.
type turn struct {
	account    string
	number     int
	firstToken time.Duration
	prompt     int
	cached     int
	imported   int
	linkBytes  int64
}

func (f *Fleet) runConversations(ctx context.Context, out io.Writer) error {
	histories := make([]string, len(Accounts))
	for i, account := range Accounts {
		histories[i] = history(account)
	}
	var all []turn
	for n := range turns {
		for i, account := range Accounts {
			t, answer, err := f.send(ctx, f.Nodes[(n+i)%len(f.Nodes)], account, histories[i])
			if err != nil {
				return err
			}
			t.number = n + 1
			all = append(all, t)
			histories[i] += answer + fmt.Sprintf("\nQuestion %d: which heats were held, and why?\n", n+2)
		}
		if err := f.fillGap(ctx, n); err != nil {
			return err
		}
	}
	return report(out, all)
}

// fillGap waits until cached context has been exported to the stores, and then fills the engines'
// memories with other prompts, which simulates a gap of minutes or hours between two turns.
func (f *Fleet) fillGap(ctx context.Context, n int) error {
	if !retry.Sleep(ctx, turnGap) {
		return ctx.Err()
	}
	var group errgroup.Group
	for i := range fillerPerEngine * len(f.Engines) {
		group.Go(func() error {
			prompt := strings.Repeat(fmt.Sprintf("gap %d prompt %d ", n, i), fillerBlocks*blockChars/16)
			_, _, err := f.send(ctx, f.Nodes[i%len(f.Nodes)], fillerAccount, prompt)
			return err
		})
	}
	return group.Wait()
}

// history returns the long text with which an account's conversation begins.
func history(account string) string {
	var b strings.Builder
	for i := range paragraphs {
		fmt.Fprintf(&b, "Record %d of %s: heat %d, furnace %d, charge %d kg, poured and logged without a gap.\n", i, account, 4000+i, i%7, 900+13*i%400)
	}
	return b.String()
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			Cached   int   `json:"cached_tokens"`
			Imported int   `json:"imported_tokens"`
			Link     int64 `json:"link_bytes"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// send sends a prompt as a caller and reads the stream. It returns the measurements and the answer.
func (f *Fleet) send(ctx context.Context, m *Member, account, prompt string) (turn, string, error) {
	body := completionRequest{Model: Model, Prompt: prompt, MaxTokens: answerTokens, Stream: true}
	body.Options.IncludeUsage = true
	data, err := json.Marshal(body)
	if err != nil {
		return turn{}, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.URL()+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return turn{}, "", err
	}
	req.Header.Set("Authorization", "Bearer "+KeyOf(account))
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return turn{}, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // the status is reported even without the body
		return turn{}, "", eris.Errorf("status %d: %s", resp.StatusCode, text)
	}
	t := turn{account: account}
	answer, err := t.readStream(resp.Body, start)
	return t, answer, err
}

// readStream records the measurements of a streamed response and returns the answer.
func (t *turn) readStream(body io.Reader, start time.Time) (string, error) {
	var answer strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: {")
		if !ok {
			continue
		}
		var c completionChunk
		if err := json.Unmarshal([]byte("{"+data), &c); err != nil {
			return "", eris.Wrap(err, "read chunk")
		}
		for _, ch := range c.Choices {
			if ch.Text != "" && t.firstToken == 0 {
				t.firstToken = time.Since(start)
			}
			answer.WriteString(ch.Text)
		}
		if u := c.Usage; u != nil {
			t.prompt, t.cached = u.PromptTokens, u.Details.Cached
			t.imported, t.linkBytes = u.Details.Imported, u.Details.Link
		}
	}
	return answer.String(), lines.Err()
}

// report prints each turn, and the means of first and of later turns.
func report(out io.Writer, all []turn) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "account\tturn\tfirst token\tprompt tokens\trecomputed\tfrom engine memory\tfrom store\tlink bytes\t")
	for _, t := range all {
		t.writeRow(w, t.account, fmt.Sprint(t.number))
	}
	first, later := turn{}, turn{}
	for _, t := range all {
		if t.number == 1 {
			first.add(t)
		} else {
			later.add(t)
		}
	}
	first.mean().writeRow(w, "mean of first turns", "1")
	later.mean().writeRow(w, "mean of later turns", fmt.Sprintf("2-%d", turns))
	return w.Flush()
}

func (t turn) writeRow(w io.Writer, name, number string) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", name, number, t.firstToken.Round(100*time.Microsecond),
		t.prompt, t.prompt-t.cached, t.cached-t.imported, t.imported, t.linkBytes)
}

// add adds the figures of o; number counts the added turns.
func (t *turn) add(o turn) {
	t.number++
	t.firstToken += o.firstToken
	t.prompt += o.prompt
	t.cached += o.cached
	t.imported += o.imported
	t.linkBytes += o.linkBytes
}

// mean returns the means of the added turns.
func (t turn) mean() turn {
	n := max(t.number, 1)
	return turn{firstToken: t.firstToken / time.Duration(n), prompt: t.prompt / n, cached: t.cached / n, imported: t.imported / n, linkBytes: t.linkBytes / int64(n)}
}
