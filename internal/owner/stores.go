package owner

import (
	"context"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

const (
	// storesPerPrompt is the number of store hosts that may hold the blocks of a
	// prompt.
	storesPerPrompt = 2
	// rootChunks is the length in chunks of the prefix that selects the store hosts.
	rootChunks = 4
	// minOfferChunks is the minimum length in chunks of a prompt whose blocks are
	// stored; shorter ones may not fill a block.
	minOfferChunks = rootChunks
	// backgroundCallTimeout applies to offers and to the cancellation of imports.
	backgroundCallTimeout = 2 * time.Second
)

// watchedStore is a store host with the function that stops its watch.
type watchedStore struct {
	*storeHost
	cancel context.CancelFunc
}

// cachedStoreSet is the set of store hosts in service in one configuration view.
type cachedStoreSet struct {
	view *config.View
	set  *rendezvous.Set
}

// StoresFor returns the store hosts that may hold KV cache blocks of a prompt, in
// order of preference. All nodes with the same configuration return the same ones.
func (s *Service) StoresFor(chain kvcache.Chain) []string {
	if len(chain) < minOfferChunks {
		return nil
	}
	return s.storeSet().AppendTop(nil, storesPerPrompt, chain[rootChunks-1].String())
}

// storeSet returns the store hosts in service. It iterates over the endpoints only
// once per configuration view.
func (s *Service) storeSet() *rendezvous.Set {
	view := s.directory.View()
	if last := s.lastStoreSet.Load(); last != nil && last.view == view {
		return last.set
	}
	var nodes []rendezvous.Node
	for value := range view.All(config.KindEndpoint) {
		e, ok := value.(*pb.Endpoint)
		if ok && e.GetKind() == pb.EndpointKind_ENDPOINT_KIND_STORE && !e.GetLeaving() {
			nodes = append(nodes, rendezvous.Node{ID: e.GetName(), Weight: 1})
		}
	}
	set := rendezvous.NewSet(nodes)
	s.lastStoreSet.Store(&cachedStoreSet{view: view, set: set})
	return set
}

// store returns the state of a store host and creates it on first use. It fails if
// the endpoint is not a configured store host or the service is not running.
func (s *Service) store(name string) (*storeHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watched, ok := s.stores[name]; ok {
		return watched.storeHost, nil
	}
	endpoint, ok := s.directory.View().Endpoint(name)
	if !ok || endpoint.GetKind() != pb.EndpointKind_ENDPOINT_KIND_STORE {
		return nil, result.New(result.NoEndpoint, result.WithField(name))
	}
	if s.ctx.Err() != nil {
		return nil, result.New(result.Draining)
	}
	host, err := newStoreHost(endpoint, time.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stores[name] = &watchedStore{storeHost: host, cancel: cancel}
	s.wg.Go(func() { host.watch(ctx, s.exporter()) })
	return host, nil
}

func (s *Service) exporter() *exporter {
	return &exporter{
		engine: s.engineTransfers,
		salt:   s.salter.CacheSalt,
		model: func(name string) *pb.Model {
			m, _ := s.directory.View().Model(name)
			return m
		},
		accounts: func() int { return s.directory.View().Len(config.KindAccount) },
		exported: s.exported,
	}
}

func (s *Service) engineTransfers(engine string) kvcache.Engine {
	return engineTransfers{reader: s.reader, url: s.url(engine)}
}

// estimateStores returns estimates for the requested store hosts, one per layout.
func (s *Service) estimateStores(now time.Time, req *EstimateRequest) []placement.StoreEstimate {
	var out []placement.StoreEstimate
	for _, name := range req.Stores {
		host, err := s.store(name)
		if err != nil {
			continue // omitted: the prompt is recomputed
		}
		for _, layout := range req.Layouts {
			out = append(out, host.estimate(now, &req.Prompt, layout))
		}
	}
	return out
}

func (s *Service) serveImport(ctx context.Context, req *importRequest) (*importResponse, error) {
	host, err := s.store(req.Store)
	if err != nil {
		return nil, err
	}
	return host.importTo(ctx, s.engineTransfers(req.Engine), req, s.salter.CacheSalt(req.Prompt.Account))
}

func (s *Service) serveCancelImport(_ context.Context, req *cancelImportRequest) (*None, error) {
	if host, err := s.store(req.Store); err == nil {
		host.cancelImport(req.ID)
	}
	return &None{}, nil
}

func (s *Service) serveOffer(_ context.Context, req *offerRequest) (*None, error) {
	host, err := s.store(req.Store)
	if err != nil {
		return nil, err
	}
	host.offer(time.Now(), req, s.exportAfter)
	return &None{}, nil
}

// startImport starts the import of the selected blocks for a queued request. The
// request can be granted when the import has ended, even if it failed.
func (s *Service) startImport(e *engine, p *pendingGrant, req *GrantRequest) {
	ctx, cancel := context.WithTimeout(s.runContext(), max(req.Prompt.TimeLeft, 0))
	e.setCancelImport(req.Grant, cancel)
	s.wg.Go(func() {
		defer cancel()
		tokens, bytes := s.importBlocks(ctx, e, req)
		e.importDone(time.Now(), req.Grant, p, tokens, bytes)
	})
}

// importBlocks runs the import of a request and returns the imported tokens and bytes,
// both 0 after an error.
func (s *Service) importBlocks(ctx context.Context, e *engine, req *GrantRequest) (tokens int, bytes int64) {
	layout, incarnation, ok := e.layout()
	if !ok {
		return 0, 0
	}
	importReq := &importRequest{
		ID:        runid.Nonce(),
		Store:     req.Import.Store,
		Engine:    req.Endpoint,
		Prompt:    req.Prompt,
		Layout:    layout,
		FromToken: req.Import.FromToken,
		ToToken:   req.Import.FromToken + req.Import.Tokens,
		TimeLeft:  req.Prompt.TimeLeft,
	}
	resp, err := cluster.CallOwner(ctx, s.cluster, req.Import.Store, methodImport, importReq, s.serveImport)
	if ctx.Err() != nil {
		s.cancelImport(importReq)
		return 0, 0
	}
	if err != nil || len(resp.Placements) == 0 {
		return 0, 0
	}
	e.index.ObserveImport(incarnation, resp.Placements)
	return coveredTokens(resp.Placements) - req.Import.FromToken, resp.Bytes
}

func (s *Service) cancelImport(importReq *importRequest) {
	ctx, cancel := context.WithTimeout(s.runContext(), backgroundCallTimeout)
	defer cancel()
	req := &cancelImportRequest{Store: importReq.Store, ID: importReq.ID}
	_, _ = cluster.CallOwner(ctx, s.cluster, importReq.Store, methodCancelImport, req, s.serveCancelImport) // if this fails, the import ends by its own timeout
}

// offerTurn offers a finished turn's blocks in the background to the turn's store hosts,
// in order of preference, until one responds.
func (s *Service) offerTurn(e *engine, req *ReleaseRequest) {
	layout, _, ok := e.layout()
	stores := s.StoresFor(req.Prompt.Chain)
	placements := e.index.Placements(req.Prompt.Chain)
	if !ok || len(placements) == 0 {
		return
	}
	s.wg.Go(func() {
		for _, name := range stores {
			if s.offerTo(name, e, req, layout, placements) {
				return
			}
		}
	})
}

func (s *Service) offerTo(store string, e *engine, req *ReleaseRequest, layout string, placements []kvcache.Placement) bool {
	ctx, cancel := context.WithTimeout(s.runContext(), backgroundCallTimeout)
	defer cancel()
	offer := &offerRequest{
		Store:       store,
		Engine:      e.name,
		Prompt:      req.Prompt,
		Layout:      layout,
		Placements:  placements,
		PrefillRate: e.prefillRate(time.Now(), req.Prompt.Model),
	}
	_, err := cluster.CallOwner(ctx, s.cluster, store, methodOffer, offer, s.serveOffer)
	return err == nil
}
