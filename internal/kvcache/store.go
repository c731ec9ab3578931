package kvcache

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After any other error the outcome is unknown: the call may
// have taken effect, and may be repeated.
var (
	ErrExists   = errors.New("kvcache: key was used before")
	ErrNotFound = errors.New("kvcache: no such block or manifest")
)

// Tier is the storage tier on which a store host keeps a block.
type Tier uint8

// The tiers of a store host.
const (
	TierMemory Tier = iota
	TierDisk
)

// Manifest publishes a complete block. Its key identifies the prefix that the block
// ends.
type Manifest struct {
	Key      string
	Parent   string // key of the preceding block, empty for the first
	Index    int    // position in the chain, from 0
	Name     string // write-once block name
	Block    string // the engine's block id
	EndToken int
	Bytes    int64
	Checksum string // hex SHA-256
	Identity
	Layout string // the engine's KV layout
}

// BlockInfo is a store host's description of a block.
type BlockInfo struct {
	Name     string
	Bytes    int64
	Checksum string // hex SHA-256
	Complete bool   // false if the write was aborted or is still in progress
	Tier     Tier
	Age      time.Duration // time since its first byte was written, by the store host's clock
}

// ManifestPage is a page of manifests ordered by key.
type ManifestPage struct {
	Generation string // changes when the store host restarts
	Manifests  []Manifest
	More       bool
}

// BlockPage is a page of blocks ordered by name.
type BlockPage struct {
	Generation string
	Blocks     []BlockInfo
	More       bool
}

// Usage is a store host's used and total space in bytes, summed over all tiers.
type Usage struct {
	Generation string
	Used       int64
	Capacity   int64
}

// Store is the client interface of a store host. Block names are write-once: a name
// is not reused even after its block was deleted. All calls may be repeated.
type Store interface {
	ListManifests(ctx context.Context, after string, limit int) (ManifestPage, error)
	ListBlocks(ctx context.Context, after string, limit int) (BlockPage, error)
	// Manifest returns ErrNotFound if the key has no manifest.
	Manifest(ctx context.Context, key string) (Manifest, error)
	// PutManifest returns ErrExists if the key already has a manifest.
	PutManifest(ctx context.Context, m Manifest) error
	// DeleteManifest deletes the key's manifest if it refers to the named block;
	// otherwise it returns ErrNotFound.
	DeleteManifest(ctx context.Context, key, name string) error
	BlockInfo(ctx context.Context, name string) (BlockInfo, error)
	DeleteBlock(ctx context.Context, name string) error
	Usage(ctx context.Context) (Usage, error)
}

// TransferBlock is one block to export or import.
type TransferBlock struct {
	Block    string // the engine's block id
	Name     string // the store's block name
	Bytes    int64
	Checksum string // import only: expected hex SHA-256
	Version  string
	Salt     string
}

// Transfer is a request to an engine to copy blocks to or from a store host. The
// engine aborts it after Timeout.
type Transfer struct {
	Store          string // base URL of the store host
	Blocks         []TransferBlock
	BytesPerSecond int64 // 0: unbounded
	Timeout        time.Duration
}

// TransferResult is an engine's result for one block of a transfer.
type TransferResult struct {
	Block    string
	OK       bool
	Checksum string // export only: hex SHA-256 of the bytes written
	Bytes    int64  // transferred
}

// Engine transfers blocks on request. Its methods return one result per block, in
// the order of the request. After an error some blocks may have been transferred.
type Engine interface {
	Export(ctx context.Context, t Transfer) ([]TransferResult, error)
	Import(ctx context.Context, t Transfer) ([]TransferResult, error)
}
