package experiment

import (
	_ "embed"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/settings"
)

//go:embed schema.json
var schemaJSON []byte

var checker = settings.NewChecker("experiment.json", schemaJSON)

// File describes an experiment. schema.json describes each field.
type File struct {
	Name     string            `json:"name"`
	About    string            `json:"about"`
	Seeds    []uint64          `json:"seeds"`
	Length   settings.Duration `json:"length"`
	Fleet    Fleet             `json:"fleet"`
	Load     []Class           `json:"load"`
	Faults   []Fault           `json:"faults"`
	Policies []Policy          `json:"policies"`
}

// Fleet describes the engines and their store.
type Fleet struct {
	Engines            []Engine          `json:"engines"`
	StoreTokens        int               `json:"store_tokens"`
	EventDelay         settings.Duration `json:"events_late"`
	StatedMemoryTokens int               `json:"stated_memory_tokens"`
}

// Engine describes a number of identical engines.
type Engine struct {
	Name            string   `json:"name"`
	Count           int      `json:"count"`
	Slots           int      `json:"slots"`
	MemoryTokens    int      `json:"memory_tokens"`
	ReadTokensPerMs float64  `json:"read_tokens_per_ms"`
	StepMs          float64  `json:"step_ms"`
	RequestStepMs   *float64 `json:"request_step_ms"`
	ChunkTokens     int      `json:"chunk_tokens"`
}

// Class describes a class of requests.
type Class struct {
	Name              string            `json:"class"`
	RequestsPerSecond float64           `json:"requests_per_second"`
	Burst             int               `json:"burst"`
	Rank              int               `json:"rank"`
	Sessions          int               `json:"sessions"`
	SessionSkew       float64           `json:"session_skew"`
	Accounts          int               `json:"accounts"`
	AccountTokens     int               `json:"account_tokens"`
	SharedTokens      int               `json:"shared_tokens"`
	OwnTokens         int               `json:"own_tokens"`
	OutputTokens      int               `json:"output_tokens"`
	Objective         settings.Duration `json:"objective"`
	Deadline          settings.Duration `json:"deadline"`
}

// Kinds of faults.
const (
	crash = "crash"
	slow  = "slow"
)

// Fault is a period in which one engine is down or slow.
type Fault struct {
	Kind   string            `json:"kind"`
	Engine string            `json:"engine"`
	Number int               `json:"number"`
	At     settings.Duration `json:"at"`
	For    settings.Duration `json:"for"`
	Factor float64           `json:"factor"`
}

// Policy holds the settings by which the gateway places requests. Nil keeps the default.
type Policy struct {
	Name            string `json:"name"`
	MemoryAdmission *bool  `json:"memory_admission"`
	// StatedMemoryTokens replaces the fleet's value.
	StatedMemoryTokens *int     `json:"stated_memory_tokens"`
	Store              *bool    `json:"store"`
	WaitingShare       *float64 `json:"waiting_share"`
	LateShare          *float64 `json:"late_share"`
	ReserveShare       *float64 `json:"reserve_share"`
}

// Load reads and checks a file. The error is settings.Problems if the file can be read but is
// invalid.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read experiment")
	}
	return Parse(data)
}

// Parse checks data and returns the experiment that it describes, with defaults applied.
func Parse(data []byte) (*File, error) {
	f := &File{Fleet: Fleet{EventDelay: settings.Duration(300 * time.Millisecond)}}
	if problems := checker.Decode(data, f); len(problems) > 0 {
		return nil, problems
	}
	f.applyDefaults()
	if problems := f.check(); len(problems) > 0 {
		return nil, problems
	}
	return f, nil
}

func (f *File) applyDefaults() {
	const chunkTokens, requestStepMs = 2048, 0.12
	stated := f.Fleet.StatedMemoryTokens == 0
	for i := range f.Fleet.Engines {
		e := &f.Fleet.Engines[i]
		if e.ChunkTokens == 0 {
			e.ChunkTokens = chunkTokens
		}
		if e.RequestStepMs == nil {
			value := requestStepMs
			e.RequestStepMs = &value
		}
		if stated && (i == 0 || e.MemoryTokens < f.Fleet.StatedMemoryTokens) {
			f.Fleet.StatedMemoryTokens = e.MemoryTokens
		}
	}
	for i := range f.Load {
		f.Load[i].Burst = max(f.Load[i].Burst, 1)
	}
}
