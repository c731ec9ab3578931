package rollout_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/demo"
	engineclient "github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/standin/engine"
)

// watcher samples the engines of a fleet continuously.
type watcher struct {
	loading, serving atomic.Int32 // maximum concurrent loads, minimum engines in service
	early            atomic.Int32 // number of engines with v2 when the first one can serve it
}

func (w *watcher) run(ctx context.Context, f *demo.Fleet) {
	client := engineclient.NewClient()
	w.serving.Store(int32(len(f.EngineURLs)))
	for ctx.Err() == nil {
		loading, serving, swapping, ready2 := 0, 0, 0, false
		for _, url := range f.EngineURLs {
			state, err := client.State(ctx, url)
			if err != nil {
				return
			}
			ready := false
			for _, l := range state.Loaded {
				if l.Loading {
					loading++
				}
				ready = ready || !l.Loading
				if l.Version == "v2" {
					swapping++
					ready2 = ready2 || !l.Loading
				}
			}
			if ready {
				serving++
			}
		}
		if w.early.Load() == 0 && ready2 {
			w.early.Store(int32(swapping))
		}
		w.loading.Store(max(w.loading.Load(), int32(loading)))
		w.serving.Store(min(w.serving.Load(), int32(serving)))
	}
}

// prompts sends requests sequentially until ctx is done.
func prompts(ctx context.Context, t *testing.T, url string, client int, sent, failed *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf(`{"model":%q,"prompt":"client %d heat %d","max_tokens":8}`, demo.Model, client, n)
		req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+demo.KeyOf(demo.Accounts[client%len(demo.Accounts)]))
		resp, err := http.DefaultClient.Do(req)
		sent.Add(1)
		if err != nil {
			t.Error(err)
			failed.Add(1)
			continue
		}
		if resp.StatusCode != http.StatusOK {
			answer, _ := io.ReadAll(resp.Body)
			t.Errorf("client %d got %s: %s", client, resp.Status, answer)
			failed.Add(1)
		}
		resp.Body.Close()
	}
}

func TestSwapUnderLoad(t *testing.T) {
	weights := engine.NewWeightStore(engine.WeightConfig{LoadTime: 400 * time.Millisecond, TimeScale: 1})
	c := engine.Config{TimeScale: 0.2, Weights: weights, CheckFencing: true}
	f, err := demo.Start(demo.Options{Nodes: 3, Engines: []engine.Config{c, c, c}, Log: zerolog.Nop()})
	must.NoError(t, err)
	defer func() { must.NoError(t, f.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	_, err = f.Configure(ctx)
	must.NoError(t, err)
	traffic, stop := context.WithCancel(ctx)
	var sent, failed atomic.Int64
	var w watcher
	var wg sync.WaitGroup
	wg.Go(func() { w.run(traffic, f) })
	for i := range 6 {
		wg.Go(func() { prompts(traffic, t, f.Nodes[i%3].URL(), i, &sent, &failed) })
	}
	api := demo.Client(f.Nodes[0])
	apply := func(v config.Value, based int64) {
		_, err := api.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{ChangeId: runid.Nonce(), Object: config.ToObject(v, 0), BasedOn: based}))
		must.NoError(t, err)
	}
	got, err := api.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: "model", Name: demo.Model}))
	must.NoError(t, err)
	apply(&pb.ModelVersion{Name: config.VersionName(demo.Model, "v2"), Model: demo.Model, Version: "v2"}, 0)
	began := time.Now()
	apply(&pb.Model{Name: demo.Model, Version: "v2", RolloutMinAvailable: 0.6}, got.Msg.GetObject().GetRevision())
	done := func() bool {
		for _, url := range f.EngineURLs {
			state, err := engineclient.NewClient().State(ctx, url)
			if err != nil || len(state.Loaded) != 1 || state.Loaded[0] != (enginewire.Loaded{Model: demo.Model, Version: "v2"}) {
				return false
			}
		}
		return true
	}
	for !done() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(began)
	time.Sleep(500 * time.Millisecond)
	stop()
	wg.Wait()
	t.Logf("took %v, %d requests, %d failed, max %d loads, min %d serving", took, sent.Load(), failed.Load(), w.loading.Load(), w.serving.Load())
	must.NoError(t, ctx.Err())
	must.Eq(t, 0, failed.Load())
	must.Positive(t, sent.Load())
	must.LessEq(t, rollout.MaxLoads, int(w.loading.Load()))
	must.GreaterEq(t, 2, int(w.serving.Load()))
	must.Eq(t, 1, w.early.Load())
}
