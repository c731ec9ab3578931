// Package enginewire holds the messages of the model engines' HTTP protocol:
// JSON bodies, and server-sent events for the frames of a run.
//
// Only the adapter that speaks this protocol and the stand-in engine import it;
// another engine protocol costs one other adapter file.
package enginewire

// Paths of the engine's HTTP resources. RunPath takes the run id.
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

// FrameKind tells what a frame of a run carries.
type FrameKind string

// The kinds of frame. Every run has one start frame, then token frames, then
// exactly one end or error frame.
const (
	FrameStart  FrameKind = "start"
	FrameTokens FrameKind = "tokens"
	FrameEnd    FrameKind = "end"
	FrameError  FrameKind = "error"
)

// RunRequest starts a run. Run is chosen by the caller and is unique; starting
// the same run id twice is refused with ErrRunExists.
type RunRequest struct {
	Run         string  `json:"run"`
	Model       string  `json:"model"`
	Version     string  `json:"version"` // weight version that must serve the run
	Adapter     string  `json:"adapter,omitempty"`
	CacheSalt   string  `json:"cache_salt"` // root of the engine's block ids: one per client account
	Prompt      string  `json:"prompt,omitempty"`
	PromptIDs   []int   `json:"prompt_ids,omitempty"`
	Continue    string  `json:"continue,omitempty"` // output of an earlier, broken run to go on from
	MaxTokens   int     `json:"max_tokens"`
	Priority    int     `json:"priority,omitempty"` // 0 is the most urgent
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
	DeadlineMS  int64   `json:"deadline_ms,omitempty"` // time left to the caller, milliseconds
}

// Block is one cached piece of a prompt: ID is a chain hash over the cache salt,
// model, version, adapter and all tokens up to EndToken.
type Block struct {
	ID       string `json:"id"`
	EndToken int    `json:"end_token"`
	Bytes    int64  `json:"bytes"`
}

// Frame is one event of a run's stream. Seq counts frames of the run from 0
// without a gap; Offset counts output tokens before this frame.
type Frame struct {
	Run          string    `json:"run"`
	Incarnation  string    `json:"incarnation"` // the engine process that produced the frame
	Seq          int       `json:"seq"`
	Kind         FrameKind `json:"kind"`
	Offset       int       `json:"offset"`
	Tokens       int       `json:"tokens,omitempty"`
	Text         string    `json:"text,omitempty"`
	Version      string    `json:"version,omitempty"`       // start: weight version in use
	CacheSalt    string    `json:"cache_salt,omitempty"`    // start: echoed
	Model        string    `json:"model,omitempty"`         // start: echoed
	Adapter      string    `json:"adapter,omitempty"`       // start: echoed
	PromptTokens int       `json:"prompt_tokens,omitempty"` // start
	CachedTokens int       `json:"cached_tokens,omitempty"` // start: of the prompt, not recomputed
	Blocks       []Block   `json:"blocks,omitempty"`        // end: whole blocks of prompt and output now in memory
	OutputTokens int       `json:"output_tokens,omitempty"` // end
	Finish       string    `json:"finish,omitempty"`        // end: "stop" or "length"
	Error        *Error    `json:"error,omitempty"`
}

// ErrorCode is an engine's reason for refusing or failing a call.
type ErrorCode string

// The engine's error codes.
const (
	ErrNotLoaded  ErrorCode = "not_loaded"  // model, version or adapter is not in memory; not run
	ErrOverloaded ErrorCode = "overloaded"  // queue full; not run
	ErrLeaving    ErrorCode = "leaving"     // takes no new runs; not run
	ErrRunExists  ErrorCode = "run_exists"  // run id already used
	ErrRunUnknown ErrorCode = "run_unknown" // no such run, or no longer kept
	ErrStaleToken ErrorCode = "stale_token" // an order with an older fencing token
	ErrBadRequest ErrorCode = "bad_request" // malformed; not run
	ErrInternal   ErrorCode = "internal"    // failed while running
	ErrTooLong    ErrorCode = "too_long"    // prompt exceeds the model's context; not run
	ErrCancelled  ErrorCode = "cancelled"   // the run was cancelled by DELETE
)

// Error is the body of a refusal and the payload of an error frame. NotRun is
// the engine's own word that the request did not run.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	NotRun  bool      `json:"not_run"`
}

// KVEvent tells that a block entered or left the engine's memory. Events come
// late, and some are missing: a gap in Seq calls for reading State again.
type KVEvent struct {
	Seq     uint64 `json:"seq"`
	Block   string `json:"block"`
	Removed bool   `json:"removed,omitempty"`
}

// Events is the answer to a read of cache events after the number since, which
// starts at 0; the first event has Seq 1. Next is the since of the next read: if
// more numbers lie between than events came, some are missing.
type Events struct {
	Incarnation string    `json:"incarnation"`
	Events      []KVEvent `json:"events"`
	Next        uint64    `json:"next"`
}

// BlockTransfer names one block to export or import. Name is the store's
// write-once block name.
type BlockTransfer struct {
	Block    string `json:"block"`
	Name     string `json:"name"`
	Bytes    int64  `json:"bytes"`
	Checksum string `json:"checksum,omitempty"` // import: hex SHA-256 that the bytes must have
	Version  string `json:"version"`
	Salt     string `json:"salt"`
}

// TransferRequest orders an export to, or an import from, one store host. The
// engine moves the bytes itself. BytesPerSecond bounds its rate; 0 is unbounded.
type TransferRequest struct {
	Store          string          `json:"store"` // base URL of the store host
	Blocks         []BlockTransfer `json:"blocks"`
	BytesPerSecond int64           `json:"bytes_per_second,omitempty"`
	TimeoutMS      int64           `json:"timeout_ms,omitempty"`
}

// TransferResult tells the outcome for one block. An import whose bytes do not
// have the checksum is reported failed and is not used.
type TransferResult struct {
	Block    string `json:"block"`
	OK       bool   `json:"ok"`
	Checksum string `json:"checksum,omitempty"` // export: of the bytes written
	Bytes    int64  `json:"bytes"`
	Message  string `json:"message,omitempty"`
}

// TransferResponse answers a TransferRequest, a result for each block in order.
type TransferResponse struct {
	Results []TransferResult `json:"results"`
}

// Load is the engine's own report, which lags by up to a second or more.
type Load struct {
	Incarnation   string  `json:"incarnation"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"` // prompt tokens not yet computed
	CacheUsed     float64 `json:"cache_used"`     // share of cache memory in use, 0 to 1
	AgeMS         int64   `json:"age_ms"`         // how old the figures are
	Role          string  `json:"role,omitempty"` // the present one, without lag
}

// OrderKind names what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change what it holds. Token is the fencing token: an
// engine that checks it refuses a token lower than the highest it has seen.
type Order struct {
	Token   int64     `json:"token"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"` // "serving" or "leaving"
}

// Loaded is one model, weight version and adapter in the engine's memory.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Loading bool   `json:"loading,omitempty"`
}

// State is the engine's full state: read on start, on a gap in the events, and
// after an order whose answer was lost.
type State struct {
	Incarnation string   `json:"incarnation"`
	Role        string   `json:"role"`
	Loaded      []Loaded `json:"loaded"`
	KVLayout    string   `json:"kv_layout"`
	BlockTokens int      `json:"block_tokens"`
	BlockBytes  int64    `json:"block_bytes"`
	Blocks      []string `json:"blocks"`    // ids now in memory
	EventSeq    uint64   `json:"event_seq"` // last event that Blocks includes
	HighToken   int64    `json:"high_token"`
	MaxRunning  int      `json:"max_running"`
}
