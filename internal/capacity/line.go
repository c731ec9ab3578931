package capacity

import "slices"

// Role is one of the functions of a node. Every node has all roles.
type Role string

// The roles.
const (
	Entry          Role = "entry"
	EngineOwner    Role = "owner of engines"
	StoreOwner     Role = "owner of stores"
	AccountOwner   Role = "owner of accounts (lender, keeper)"
	Executor       Role = "ticket executor"
	ClaimHolder    Role = "claim holder"
	ModelOwner     Role = "owner of models (rollout board)"
	Member         Role = "member"
	Follower       Role = "configuration follower"
	EveryRole      Role = "all"
	msPerSecond         = 1e3
	usPerSecond         = 1e6
	percent             = 100
	mega                = 1e6
	bothDirections      = 2 // bytes are counted at the sender and at the receiver
)

// Line is one part of a node's cost. Figures that don't apply to the line are unknown and ignored.
type Line struct {
	Role   Role
	What   string
	Basis  string // how the figures are derived from the slopes
	Slopes []SlopeID
	Core   Figure // share of one core
	Memory Figure // bytes
	Bytes  Figure // per second, sent and received
	// NotMeasured is true if a slope that the line depends on has not been measured.
	NotMeasured bool
}

// Model computes the lines from slopes, for a system size and workload.
type Model struct {
	Size   Size
	Work   Work
	Slopes []Slope
}

// NewModel returns the model for the planned size and the assumed workload.
func NewModel() *Model {
	return &Model{Size: Planned, Work: Assumed, Slopes: slices.Concat(standing, perRequest, memory)}
}

// Slope returns the slope with the given ID. For an unknown ID it returns one without points.
func (m *Model) Slope(id SlopeID) *Slope {
	for i := range m.Slopes {
		if m.Slopes[i].ID == id {
			return &m.Slopes[i]
		}
	}
	return &Slope{ID: id}
}

// at returns a slope's value at a size.
func (m *Model) at(id SlopeID, size float64) Figure { return m.Slope(id).At(size) }

// Sum returns the sum of the known figures of lines; it is unknown if none is known.
func Sum(lines []Line, figure func(Line) Figure) Figure {
	var sum Figure
	for _, l := range lines {
		f := figure(l)
		switch {
		case f.Known && sum.Known:
			sum = sum.Plus(f)
		case f.Known:
			sum = f
		}
	}
	return sum
}

// CoreOf returns the line's share of a core.
func CoreOf(l Line) Figure { return l.Core }

// MemoryOf returns the line's memory.
func MemoryOf(l Line) Figure { return l.Memory }

// BytesOf returns the line's bytes per second.
func BytesOf(l Line) Figure { return l.Bytes }
