// Package store is a stand-in for a store host with the protocol of storewire: blocks with
// write-once names in a memory and a disk tier, and manifests.
//
// A name can be written only once per generation, even if the write is interrupted or the block is
// deleted. The store doesn't check that a manifest refers to a complete block; the writer must
// ensure that.
package store

import (
	"crypto/rand"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/standin/fault"
)

const (
	defaultPage = 1000
	maxPage     = 10000
)

// Store is one store host. It is safe for concurrent use.
type Store struct {
	// Faults holds the active faults.
	Faults fault.Switch[Faults]

	cfg    Config
	link   *rate.Limiter
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	current  *contents
	snapshot *contents
}

// New returns an empty store host.
func New(cfg Config) *Store {
	return &Store{
		cfg:     cfg,
		link:    rate.NewLimiter(rate.Inf, linkBurst),
		closed:  make(chan struct{}),
		current: newContents(rand.Text()),
	}
}

// Close aborts the transfers in progress.
func (s *Store) Close() { s.once.Do(func() { close(s.closed) }) }

// Handler returns a handler for the protocol of storewire and, at fault.Path, the faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storewire.PathBlocks, s.listBlocks)
	mux.HandleFunc("PUT "+storewire.PathBlocks+"/{name}", s.putBlock)
	mux.HandleFunc("GET "+storewire.PathBlocks+"/{name}", s.getBlock)
	mux.HandleFunc("DELETE "+storewire.PathBlocks+"/{name}", s.deleteBlock)
	mux.HandleFunc("GET "+storewire.PathManifests, s.listManifests)
	mux.HandleFunc("PUT "+storewire.PathManifests+"/{key}", s.putManifest)
	mux.HandleFunc("GET "+storewire.PathManifests+"/{key}", s.getManifest)
	mux.HandleFunc("DELETE "+storewire.PathManifests+"/{key}", s.deleteManifest)
	mux.HandleFunc("GET "+storewire.PathUsage, s.usage)
	return s.Faults.Gate(mux,
		fault.ActionOf("snapshot", s.Snapshot),
		fault.Action{Name: "rollback", Do: func(url.Values) error { return s.Rollback() }},
		fault.ActionOf("lose", s.Lose),
		fault.Action{Name: "corrupt", Do: func(q url.Values) error { return s.Corrupt(q.Get("name")) }},
	)
}

// Snapshot saves the contents for Rollback.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.current.clone(s.current.generation)
}

// Rollback restarts the host with the contents of the last snapshot and a new generation. Names
// that were first used after the snapshot can be used again. It fails if there is no snapshot.
func (s *Store) Rollback() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return errNoSnapshot
	}
	s.current = s.snapshot.clone(rand.Text())
	return nil
}

// Lose restarts the host without contents and with a new generation.
func (s *Store) Lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = newContents(rand.Text())
}

// Corrupt flips a bit of a stored block without changing its checksum. An empty name means all
// blocks.
func (s *Store) Corrupt(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" && s.current.blocks[name] == nil {
		return errNoBlock
	}
	for _, b := range s.current.blocks {
		if name == "" || name == b.name {
			b.data = flipBit(b.data)
		}
	}
	return nil
}

func flipBit(data []byte) []byte {
	out := slices.Clone(data)
	if len(out) > 0 {
		out[len(out)/2] ^= 1
	}
	return out
}

func (s *Store) usage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := storewire.Usage{
		Generation: s.current.generation,
		Memory:     storewire.TierUsage{Used: s.current.memory, Capacity: s.cfg.MemoryBytes},
		Disk:       storewire.TierUsage{Used: s.current.disk, Capacity: s.cfg.DiskBytes},
	}
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

func (s *Store) listBlocks(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	names, more := page(s.current.blockNames, r.URL.Query().Get("after"), limit(r))
	out := storewire.BlockList{Generation: s.current.generation, More: more}
	for _, name := range names {
		out.Blocks = append(out.Blocks, s.current.blocks[name].info())
	}
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// limit returns the requested page size, at most maxPage.
func limit(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || n <= 0 {
		return defaultPage
	}
	return min(n, maxPage)
}

var statuses = map[storewire.ErrorCode]int{
	storewire.ErrExists:     http.StatusConflict,
	storewire.ErrNotFound:   http.StatusNotFound,
	storewire.ErrIncomplete: http.StatusConflict,
	storewire.ErrFull:       http.StatusInsufficientStorage,
	storewire.ErrChecksum:   http.StatusUnprocessableEntity,
	storewire.ErrBadRequest: http.StatusBadRequest,
}

func writeError(w http.ResponseWriter, code storewire.ErrorCode, message string) {
	fault.WriteJSON(w, statuses[code], storewire.Error{Code: code, Message: message})
}
