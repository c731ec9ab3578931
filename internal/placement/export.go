package placement

import "time"

// Times at which exports are decided. See docs/design/policy.md for the values.
const (
	// ExportAfter is how long after a turn its blocks are offered for export if the conversation
	// has not continued. The longer it is idle, the more reliable is the prediction that it will
	// continue only after a long pause.
	ExportAfter = 2 * time.Minute
	// ExportUntil is how long after a turn its blocks are likely to be still in engine memory. An
	// export is useful only if the conversation continues later than this, but must be made before:
	// it is not attempted after this time.
	ExportUntil = 10 * time.Minute
	// ExportRetry is the delay of the next attempt if the link is busy or an export costs more than
	// it saves.
	ExportRetry = 10 * time.Second
)

// ExportPart is the part of a prompt's prefix that an export would store.
type ExportPart struct {
	Tokens      int
	Bytes       int64
	PrefillRate float64 // of the engine, tokens per second
	LinkRate    float64 // current rate of an import, bytes per second
}

// ExportSaving returns the cost saved by importing the part later instead of recomputing it, in the
// objective's units. It is negative if recomputing is cheaper.
func (o Objective) ExportSaving(k ExportPart) float64 {
	if k.PrefillRate <= 0 || k.LinkRate <= 0 {
		return 0
	}
	if o == (Objective{}) {
		o.FirstTokenSeconds = 1
	}
	savedSeconds := float64(k.Tokens)/k.PrefillRate - float64(k.Bytes)/k.LinkRate
	return o.FirstTokenSeconds*savedSeconds + o.RecomputedToken*float64(k.Tokens) - o.linkCost(k.Bytes)
}

// LinkPrice returns the cost of a byte of an export, in the objective's units: the weight of the
// link, and the delay caused to other transfers. secondsPerByte is the delay that one byte causes
// on the link at its current utilization. The byte's own transfer time on an idle link is
// subtracted, as it delays no other transfer.
func (o Objective) LinkPrice(secondsPerByte, linkRate float64) float64 {
	if o == (Objective{}) {
		o.FirstTokenSeconds = 1
	}
	delay := max(0, secondsPerByte-1/linkRate)
	return o.linkCost(1) + o.FirstTokenSeconds*delay
}

func (o Objective) linkCost(bytes int64) float64 {
	return o.LinkMebibyte * float64(bytes) / mebibyte
}
