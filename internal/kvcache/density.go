package kvcache

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultTokensPerByte = 0.25
	densityDecay         = 0.9  // factor applied to the sums of earlier observations
	densityCapacity      = 8192 // (model, account) pairs
)

type densityKey struct {
	model   string
	account string // empty for all accounts of the model
}

type densityStat struct {
	tokens float64
	bytes  float64
}

func (s *densityStat) observe(bytes, tokens int) {
	s.tokens = s.tokens*densityDecay + float64(tokens)
	s.bytes = s.bytes*densityDecay + float64(bytes)
}

// Density estimates the tokens per byte of prompt text for each model and client
// account from the token counts that engines report. Safe for concurrent use.
type Density struct {
	mu    sync.Mutex
	stats *simplelru.LRU[densityKey, *densityStat]
}

// NewDensity returns an estimator without observations.
func NewDensity() *Density {
	stats, err := simplelru.NewLRU[densityKey, *densityStat](densityCapacity, nil)
	if err != nil {
		panic(err) // the capacity is a positive constant
	}
	return &Density{stats: stats}
}

// Observe records the size of one prompt in bytes and in tokens.
func (d *Density) Observe(model, account string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stat(densityKey{model: model, account: account}).observe(bytes, tokens)
	d.stat(densityKey{model: model}).observe(bytes, tokens)
}

// TokensPerByte returns the ratio observed for the account and model. It falls
// back to the model's ratio over all accounts, then to a default of 0.25.
func (d *Density) TokensPerByte(model, account string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range []densityKey{{model: model, account: account}, {model: model}} {
		if stat, ok := d.stats.Get(key); ok {
			return stat.tokens / stat.bytes
		}
	}
	return defaultTokensPerByte
}

// Estimate returns the expected number of tokens in a prompt of the given size in
// bytes.
func (d *Density) Estimate(model, account string, bytes int) int {
	return int(float64(bytes)*d.TokensPerByte(model, account) + 0.5)
}

func (d *Density) stat(key densityKey) *densityStat {
	stat, ok := d.stats.Get(key)
	if !ok {
		stat = &densityStat{}
		d.stats.Add(key, stat)
	}
	return stat
}
