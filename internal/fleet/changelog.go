package fleet

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"
)

// endpointChange is a kind of change.
type endpointChange int

const (
	changeListed endpointChange = iota
	changeGone
)

// line returns the name of the log line of one change.
func (c endpointChange) line() string {
	if c == changeGone {
		return "endpoint_gone"
	}
	return "endpoint"
}

// sum returns the name of the log line of several changes.
func (c endpointChange) sum() string {
	if c == changeGone {
		return "endpoints_gone"
	}
	return "endpoints_listed"
}

// maxChangeLines is the number of changes of a batch that get a log line each. The others are counted: a
// node that starts lists thousands of endpoints at once.
const maxChangeLines = 40

// changeLog logs which endpoints are listed and which are gone. The zero value is ready for use; the
// fleet's lock protects it.
type changeLog struct {
	lines   int // in the current batch
	counted map[changeKind]int
}

// changeKind is what changes are counted by.
type changeKind struct {
	change  endpointChange
	service string
}

// line begins the line of a change, or counts the change and returns nil.
func (l *changeLog) line(change endpointChange, service string, log *zerolog.Logger) *zerolog.Event {
	if l.lines++; l.lines <= maxChangeLines {
		return log.Info().Str("event", change.line()).Str("service", service)
	}
	if l.counted == nil {
		l.counted = make(map[changeKind]int)
	}
	l.counted[changeKind{change, service}]++
	return nil
}

// endBatch logs the number of changes that got no line. It is called after each change outside of a batch,
// too.
func (l *changeLog) endBatch(log *zerolog.Logger) {
	l.lines = 0
	kinds := make([]changeKind, 0, len(l.counted))
	for kind := range l.counted {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b changeKind) int {
		return cmp.Or(cmp.Compare(a.change, b.change), cmp.Compare(a.service, b.service))
	})
	for _, kind := range kinds {
		log.Info().Str("event", kind.change.sum()).Str("service", kind.service).Int("further", l.counted[kind]).Send()
	}
	l.counted = nil
}
