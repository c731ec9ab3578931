package capacity

// Size is the size of a system and of its load.
type Size struct {
	Nodes             int
	Servers           int // endpoints: engines and store hosts
	Accelerators      int
	Requests          float64 // per second, all nodes
	Tokens            float64 // generated per second, all nodes
	TokenGap          float64 // seconds between tokens of a stream
	Returning         int     // prompts that return after minutes to days
	Accounts          int
	Models            int
	Regions           int
	Domains           int
	Changes           float64 // configuration changes per day
	Replaced          float64 // hosts restarted or replaced per day
	Failed            float64 // hosts that fail per day
	MaxInForceSeconds float64
}

// Planned is the size that the system is designed for.
var Planned = Size{
	Nodes:             1000,
	Servers:           12_000,
	Accelerators:      48_000,
	Requests:          97_000,
	Tokens:            28_000_000,
	TokenGap:          0.066,
	Returning:         2_700_000,
	Accounts:          1300,
	Models:            39,
	Regions:           4,
	Domains:           12,
	Changes:           57_000,
	Replaced:          2900,
	Failed:            85,
	MaxInForceSeconds: 6,
}

const secondsPerDay = 86_400

// RequestsPerNode returns the requests per second at one node.
func (s Size) RequestsPerNode() float64 { return s.Requests / float64(s.Nodes) }

// TokensPerNode returns the generated tokens per second at one node.
func (s Size) TokensPerNode() float64 { return s.Tokens / float64(s.Nodes) }

// TokensPerRequest returns the mean number of tokens of an answer.
func (s Size) TokensPerRequest() float64 { return s.Tokens / s.Requests }

// StreamsPerNode returns the mean number of open streams at one node.
func (s Size) StreamsPerNode() float64 { return s.TokensPerNode() * s.TokenGap }

// OwnedPerNode returns the mean number of endpoints that a node owns.
func (s Size) OwnedPerNode() float64 { return float64(s.Servers) / float64(s.Nodes) }

// Hosts returns the number of entries in the platform's host list.
func (s Size) Hosts() float64 { return float64(s.Servers + s.Nodes) }

// ChangesPerSecond returns the configuration changes per second.
func (s Size) ChangesPerSecond() float64 { return s.Changes / secondsPerDay }

// Budget limits the resources that a node may use for control.
type Budget struct {
	Core   float64 // share of one core
	Memory float64 // bytes
	Bytes  float64 // per second
}

// Control is a node's budget for control.
var Control = Budget{Core: 0.023, Memory: 256e6, Bytes: 5000}

// Work holds assumptions about requests that the planned size does not specify.
type Work struct {
	PromptBytes float64 // size of a returning prompt
	Candidates  float64 // engines for which estimates are requested
	Stores      float64 // store hosts for which estimates are requested
	BlockTokens float64
	TokenBytes  float64 // bytes of prompt text per token
}

// Assumed is the workload that the tables are computed for.
var Assumed = Work{PromptBytes: 240_000, Candidates: 16, Stores: 2, BlockTokens: 2048, TokenBytes: 4}

// Chunks returns the number of chunks, and so of fingerprints, of a prompt.
func (w Work) Chunks() float64 { return w.PromptBytes / 2048 }

// Blocks returns the number of engine blocks of a prompt.
func (w Work) Blocks() float64 { return w.PromptBytes / w.TokenBytes / w.BlockTokens }
