package engine

import (
	"net/http"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// Defaults of Config.
const (
	DefaultBlockTokens   = 2048
	DefaultCacheBlocks   = 256
	DefaultBytesPerToken = 16
	DefaultMaxRunning    = 64
	DefaultMaxWaiting    = 1024
	DefaultMaxContext    = 1 << 20
	DefaultPrefillSpeed  = 20000.0
	DefaultDecodeStep    = 20 * time.Millisecond
	DefaultKeepRuns      = 30 * time.Second
	DefaultOutputTokens  = 64
	DefaultKVLayout      = "standin-1"
)

// Config configures an engine. Zero fields take the defaults above.
type Config struct {
	// Loaded lists the models that are loaded at the start.
	Loaded []enginewire.Loaded
	// Release is the release of the engine's software; empty if it states none.
	Release string
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// BytesPerToken is the size of the exported KV cache of one token.
	BytesPerToken int
	// KVLayout is the layout of exported blocks, which only engines with the same layout can
	// import.
	KVLayout string
	// MaxRunning limits the batch, MaxWaiting the queue.
	MaxRunning, MaxWaiting int
	// MaxContext limits prompt and output together, in tokens.
	MaxContext int
	// PrefillSpeed is the number of prompt tokens computed per second.
	PrefillSpeed float64
	// DecodeStep is the duration of a decode step with a batch of one; each further run in the
	// batch adds DecodePerRun.
	DecodeStep, DecodePerRun time.Duration
	// LinkBytesPerSecond limits all exports and imports together; 0 means unlimited.
	LinkBytesPerSecond int64
	// KeepRuns is the time for which a run can be resumed after its client disconnected or it
	// ended.
	KeepRuns time.Duration
	// EventDelay is the delay until cache events are published.
	EventDelay time.Duration
	// LoadLag is the interval of load reports; 0 reports the current load.
	LoadLag time.Duration
	// CheckFencing rejects orders with a token lower than the highest received one.
	CheckFencing bool
	// Weights is the weight store, which engines may share. If nil, models load immediately.
	Weights *WeightStore
	// Transport is used for calls to store hosts; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// TimeScale multiplies the duration of prefill, decode and transfers: 1 is real time, 0.1 is
	// ten times faster, 0 disables waiting and the limit on the batch.
	TimeScale float64
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.BlockTokens, DefaultBlockTokens)
	setDefault(&c.CacheBlocks, DefaultCacheBlocks)
	setDefault(&c.BytesPerToken, DefaultBytesPerToken)
	setDefault(&c.MaxRunning, DefaultMaxRunning)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.MaxContext, DefaultMaxContext)
	setDefault(&c.PrefillSpeed, DefaultPrefillSpeed)
	setDefault(&c.DecodeStep, DefaultDecodeStep)
	setDefault(&c.KeepRuns, DefaultKeepRuns)
	setDefault(&c.KVLayout, DefaultKVLayout)
	if c.Transport == nil {
		c.Transport = http.DefaultTransport
	}
}

func (c *Config) blockBytes() int64 { return int64(c.BlockTokens) * int64(c.BytesPerToken) }

func (c *Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}
