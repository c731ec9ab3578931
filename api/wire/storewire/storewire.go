// Package storewire defines the messages of the store hosts' HTTP protocol: blocks with
// write-once names, and small manifests that refer to complete blocks.
package storewire

// Paths of the store's HTTP resources.
const (
	// GET ?after=NAME&limit=N lists; {name}: PUT once, GET, DELETE.
	PathBlocks = "/v1/blocks"
	// GET ?after=KEY&limit=N lists; {key}: PUT if absent, GET, DELETE. DELETE ?block=NAME deletes the
	// manifest only if it refers to block NAME.
	PathManifests = "/v1/manifests"
	PathUsage     = "/v1/usage" // GET
)

// HeaderChecksum is the header that holds the hex SHA-256 of a block's bytes.
const HeaderChecksum = "X-Block-Checksum"

// Tier is the storage tier of a block.
type Tier string

// The tiers of a store host.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// BlockInfo describes a stored block. A block whose write was interrupted stays incomplete, and
// its name can't be reused.
type BlockInfo struct {
	Name     string `json:"name"`
	Bytes    int64  `json:"bytes"`
	Checksum string `json:"checksum"`
	Complete bool   `json:"complete"`
	Tier     Tier   `json:"tier"`
	AgeMS    int64  `json:"age_ms"` // since the write began, by the store's clock
}

// Manifest publishes a complete block under a prefix key. It contains everything that a reader
// must check before importing the block.
type Manifest struct {
	Key      string `json:"key"`    // fingerprint of the prefix up to the end of the block
	Parent   string `json:"parent"` // key of the preceding block, empty for the first
	Index    int    `json:"index"`  // number of blocks before it in the prefix
	Name     string `json:"name"`   // the store's write-once block name
	Block    string `json:"block"`  // the engine's block id
	EndToken int    `json:"end_token"`
	Bytes    int64  `json:"bytes"`
	Checksum string `json:"checksum"`
	Account  string `json:"account"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	Layout   string `json:"layout"`
}

// BlockList is a page of blocks in order of name. Generation changes when the host restarts.
type BlockList struct {
	Generation string      `json:"generation"`
	Blocks     []BlockInfo `json:"blocks"`
	More       bool        `json:"more"`
}

// ManifestList is a page of manifests in order of key. Generation changes when the host restarts.
type ManifestList struct {
	Generation string     `json:"generation"`
	Manifests  []Manifest `json:"manifests"`
	More       bool       `json:"more"`
}

// TierUsage is the used and total space of a tier in bytes.
type TierUsage struct {
	Used     int64 `json:"used"`
	Capacity int64 `json:"capacity"`
}

// Usage is the space of a store host. Generation changes when the host restarts.
type Usage struct {
	Generation string    `json:"generation"`
	Memory     TierUsage `json:"memory"`
	Disk       TierUsage `json:"disk"`
}

// ErrorCode is the reason why a store rejected a call.
type ErrorCode string

// The store's error codes.
const (
	ErrExists     ErrorCode = "exists"      // the name or key was used before
	ErrNotFound   ErrorCode = "not_found"   // no such block or manifest
	ErrIncomplete ErrorCode = "incomplete"  // the block was only partly written
	ErrFull       ErrorCode = "full"        // no space in any tier
	ErrChecksum   ErrorCode = "checksum"    // the bytes don't match the checksum
	ErrBadRequest ErrorCode = "bad_request" // malformed call
)

// Error is the body of an error response.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}
