package demo

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/store"
)

func start(t *testing.T, opts Options) *Fleet {
	t.Helper()
	return startFleet(t, opts)
}

func startFleet(t testing.TB, opts Options) *Fleet {
	t.Helper()
	opts.Log = zerolog.Nop()
	f, err := Start(opts)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, f.Close()) })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = f.Configure(ctx)
	must.NoError(t, err)
	return f
}

func openAI(m *Member, account string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+m.CallersAddr().String()+"/v1/"), option.WithAPIKey(KeyOf(account)), option.WithHTTPClient(http.DefaultClient), option.WithMaxRetries(0))
}

func TestOpenAIClientThroughThreeNodes(t *testing.T) {
	quick := engine.Config{TimeScale: 0}
	// Estimates that arrive after the timeout are ignored, and placement then does not consider the
	// engine's cache. The long timeout avoids this on a busy machine.
	longTimeout := func(s *settings.Settings) { s.Requests.EstimateTimeout = settings.Duration(5 * time.Second) }
	f := start(t, Options{Nodes: 3, Engines: []engine.Config{quick, quick, quick}, Stores: []store.Config{{}}, Adjust: longTimeout})
	history := strings.Repeat("Heat 4711 poured at 09:12 in furnace 3. ", 600)
	messages := []openai.ChatCompletionMessageParamUnion{openai.UserMessage(history)}
	for turn, m := range f.Nodes {
		client := openAI(m, Accounts[0])
		params := openai.ChatCompletionNewParams{Model: Model, Messages: messages, MaxTokens: openai.Int(12)}
		var acc openai.ChatCompletionAccumulator
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		for stream.Next() {
			acc.AddChunk(stream.Current())
		}
		must.NoError(t, stream.Err())
		must.Eq(t, "length", string(acc.Choices[0].FinishReason))
		must.Eq(t, 12, acc.Usage.CompletionTokens)
		if turn > 0 {
			must.Positive(t, acc.Usage.PromptTokensDetails.CachedTokens, must.Sprintf("turn %d at %s", turn, m.ID))
		}
		messages = append(messages, openai.AssistantMessage(acc.Choices[0].Message.Content), openai.UserMessage("Go on."))
		must.NoError(t, f.Settle(t.Context()))
	}
	models, err := func() (int, error) {
		client := openAI(f.Nodes[0], Accounts[1])
		list, err := client.Models.List(t.Context())
		if err != nil {
			return 0, err
		}
		return len(list.Data), nil
	}()
	must.NoError(t, err)
	must.Eq(t, 1, models)
}
