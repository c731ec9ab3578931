// Package enginewire defines the messages of the model engines' HTTP protocol: JSON bodies,
// and server-sent events for the frames of a run.
//
// Only the adapter of this protocol and the stand-in engine encode or decode it, so another
// engine protocol requires only another adapter.
package enginewire

// Paths of the engine's HTTP resources. PathRun is followed by the run id.
const (
	PathRuns   = "/v1/runs"      // POST starts a run and streams its frames
	PathRun    = "/v1/runs/"     // GET {id}?from=N resumes, DELETE {id} cancels
	PathEvents = "/v1/kv/events" // GET ?since=SEQ&wait_ms=N
	PathExport = "/v1/kv/export" // POST
	PathImport = "/v1/kv/import" // POST
	PathLoad   = "/v1/load"      // GET
	PathOrders = "/v1/orders"    // POST
	PathState  = "/v1/state"     // GET; ?blocks=false leaves the block ids out
)

// FrameKind is the kind of a frame of a run.
type FrameKind string

// The frame kinds. A run consists of one start frame, any number of token frames, and exactly
// one end or error frame.
const (
	FrameStart  FrameKind = "start"
	FrameTokens FrameKind = "tokens"
	FrameEnd    FrameKind = "end"
	FrameError  FrameKind = "error"
)

// RunRequest starts a run. The caller chooses Run, which must be unique: a second request with
// the same run id is rejected with ErrRunExists.
type RunRequest struct {
	Run         string  `json:"run"`
	Model       string  `json:"model"`
	Version     string  `json:"version"` // weight version that must serve the run
	Adapter     string  `json:"adapter,omitempty"`
	CacheSalt   string  `json:"cache_salt"` // hashed into all block ids; each client account has its own
	Prompt      string  `json:"prompt,omitempty"`
	PromptIDs   []int   `json:"prompt_ids,omitempty"` // token ids, instead of Prompt
	Continue    string  `json:"continue,omitempty"`   // output of an interrupted run to continue from
	MaxTokens   int     `json:"max_tokens"`
	Priority    int     `json:"priority,omitempty"` // 0 is the highest priority
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
	DeadlineMS  int64   `json:"deadline_ms,omitempty"` // time until the caller's deadline, milliseconds
}

// Block is a cached block of a token sequence. ID is a chained hash of the cache salt, model,
// version, adapter and all tokens up to EndToken.
type Block struct {
	ID       string `json:"id"`
	EndToken int    `json:"end_token"`
	Bytes    int64  `json:"bytes"`
}

// Frame is one server-sent event of a run. Seq numbers the frames of the run from 0 without gaps;
// Offset is the number of output tokens before this frame.
type Frame struct {
	Run          string    `json:"run"`
	Incarnation  string    `json:"incarnation"` // the engine process that produced the frame
	Seq          int       `json:"seq"`
	Kind         FrameKind `json:"kind"`
	Offset       int       `json:"offset"`
	Tokens       int       `json:"tokens,omitempty"`
	Text         string    `json:"text,omitempty"`
	Version      string    `json:"version,omitempty"`       // start: weight version in use
	Release      string    `json:"release,omitempty"`       // start: release of the engine's software
	CacheSalt    string    `json:"cache_salt,omitempty"`    // start: as in the request
	Model        string    `json:"model,omitempty"`         // start: as in the request
	Adapter      string    `json:"adapter,omitempty"`       // start: as in the request
	PromptTokens int       `json:"prompt_tokens,omitempty"` // start
	CachedTokens int       `json:"cached_tokens,omitempty"` // start: prompt tokens found in the cache
	Blocks       []Block   `json:"blocks,omitempty"`        // end: complete blocks of prompt and output in memory
	OutputTokens int       `json:"output_tokens,omitempty"` // end
	Finish       string    `json:"finish,omitempty"`        // end: "stop" or "length"
	Error        *Error    `json:"error,omitempty"`
}

// ErrorCode is the reason why an engine rejected a call or failed.
type ErrorCode string

// The engine's error codes.
const (
	ErrNotLoaded  ErrorCode = "not_loaded"  // model, version or adapter is not loaded; not run
	ErrOverloaded ErrorCode = "overloaded"  // queue full; not run
	ErrLeaving    ErrorCode = "leaving"     // accepts no new runs; not run
	ErrRunExists  ErrorCode = "run_exists"  // run id already used
	ErrRunUnknown ErrorCode = "run_unknown" // unknown or expired run
	ErrStaleToken ErrorCode = "stale_token" // the order's fencing token is outdated
	ErrBadRequest ErrorCode = "bad_request" // malformed; not run
	ErrInternal   ErrorCode = "internal"    // failed while running
	ErrTooLong    ErrorCode = "too_long"    // prompt and output exceed the model's context; not run
	ErrCancelled  ErrorCode = "cancelled"   // the run was cancelled by DELETE
)

// Error is the body of an error response and the payload of an error frame. NotRun is true if
// the engine guarantees that the request did not run.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	NotRun  bool      `json:"not_run"`
}

// KVEvent reports that a block was added to or removed from the engine's memory. Events are
// delayed, and some are lost: after a gap in Seq, State must be read again.
type KVEvent struct {
	Seq     uint64 `json:"seq"`
	Block   string `json:"block"`
	Removed bool   `json:"removed,omitempty"`
}

// Events is the response to a read of the cache events after the sequence number in the
// query parameter "since". The first event has Seq 1, so a reader starts with 0. Next is the value
// of "since" for the next read; events were lost if Next minus "since" exceeds the number of events.
type Events struct {
	Incarnation string    `json:"incarnation"`
	Events      []KVEvent `json:"events"`
	Next        uint64    `json:"next"`
}

// BlockTransfer identifies a block to export or import. Name is its write-once name in the
// store.
type BlockTransfer struct {
	Block    string `json:"block"`
	Name     string `json:"name"`
	Bytes    int64  `json:"bytes"`
	Checksum string `json:"checksum,omitempty"` // import: expected hex SHA-256 of the bytes
	Version  string `json:"version"`
	Salt     string `json:"salt"`
}

// TransferRequest requests an export to, or an import from, one store host. The engine transfers
// the bytes itself. BytesPerSecond limits its rate; 0 means unlimited.
type TransferRequest struct {
	Store          string          `json:"store"` // base URL of the store host
	Blocks         []BlockTransfer `json:"blocks"`
	BytesPerSecond int64           `json:"bytes_per_second,omitempty"`
	TimeoutMS      int64           `json:"timeout_ms,omitempty"`
}

// TransferResult is the outcome for one block. An import whose bytes don't match the checksum
// fails, and the bytes are discarded.
type TransferResult struct {
	Block    string `json:"block"`
	OK       bool   `json:"ok"`
	Checksum string `json:"checksum,omitempty"` // export: of the bytes written
	Bytes    int64  `json:"bytes"`
	Message  string `json:"message,omitempty"`
}

// TransferResponse is the response to a TransferRequest: one result for each block, in order.
type TransferResponse struct {
	Results []TransferResult `json:"results"`
}

// Load is a load report of the engine, which may be a second old or more.
type Load struct {
	Incarnation   string  `json:"incarnation"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"` // prompt tokens not yet computed
	CacheUsed     float64 `json:"cache_used"`     // fraction of cache memory in use, 0 to 1
	AgeMS         int64   `json:"age_ms"`         // age of the report
	Role          string  `json:"role,omitempty"` // unlike the other fields, always current
}

// OrderKind is the kind of an order.
type OrderKind string

// The order kinds.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order requests that an engine load or unload weights, or change its role. Token is the fencing
// token: an engine that checks it rejects a token lower than the highest that it has received.
type Order struct {
	Token   int64     `json:"token"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"` // "serving" or "leaving"
}

// Loaded is a model, weight version and adapter that is loaded, or being loaded if Loading is true.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Loading bool   `json:"loading,omitempty"`
}

// State is the full state of an engine. Clients read it on start, after a gap in the events, and
// after an order whose response was lost.
type State struct {
	Incarnation string   `json:"incarnation"`
	Role        string   `json:"role"`
	Loaded      []Loaded `json:"loaded"`
	KVLayout    string   `json:"kv_layout"`
	BlockTokens int      `json:"block_tokens"`
	BlockBytes  int64    `json:"block_bytes"`
	Blocks      []string `json:"blocks"`     // ids of the blocks in memory
	EventSeq    uint64   `json:"event_seq"`  // sequence number of the last event reflected in Blocks
	HighToken   int64    `json:"high_token"` // highest fencing token received
	MaxRunning  int      `json:"max_running"`
}
