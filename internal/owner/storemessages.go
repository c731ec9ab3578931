package owner

import (
	"time"

	"github.com/cherryward/cherryward/internal/kvcache"
)

// Peer methods of store host owners.
const (
	methodImport       = "owner.import"        // safe to repeat
	methodCancelImport = "owner.cancel_import" // safe to repeat
	methodOffer        = "owner.offer"         // safe to repeat
)

// importRequest asks a store host's owner to have an engine import blocks for a run
// whose caller is waiting.
type importRequest struct {
	ID        string        `json:"id"` // unique, used to cancel the import
	Store     string        `json:"s"`
	Engine    string        `json:"e"`
	Prompt    Prompt        `json:"p"`
	Layout    string        `json:"l"`
	FromToken int           `json:"f"` // tokens that the engine has cached
	ToToken   int           `json:"t"`
	TimeLeft  time.Duration `json:"tl"`
}

// importResponse lists the imported blocks.
type importResponse struct {
	Placements []kvcache.Placement `json:"p,omitempty"`
	Bytes      int64               `json:"b,omitempty"`
}

type cancelImportRequest struct {
	Store string `json:"s"`
	ID    string `json:"id"`
}

// offerRequest offers the blocks of a finished turn, which the engine has cached, to
// a store host's owner. The owner decides whether to export them.
type offerRequest struct {
	Store       string              `json:"s"`
	Engine      string              `json:"e"`
	Prompt      Prompt              `json:"p"`
	Layout      string              `json:"l"`
	Placements  []kvcache.Placement `json:"pl"`
	PrefillRate float64             `json:"r"` // of the engine, in tokens per second
}
