package follow

import "net/netip"

// SourceKind is a kind of source of a topic's records.
type SourceKind int

const (
	// SourceStore is the topic itself.
	SourceStore SourceKind = iota
	// SourceReader is the copy of a node that reads the topic for others.
	SourceReader
	// SourceBackup is the copy of a node that is asked only if the store and the readers fail.
	SourceBackup
)

// String implements fmt.Stringer.
func (k SourceKind) String() string {
	switch k {
	case SourceReader:
		return "reader"
	case SourceBackup:
		return "backup"
	default:
		return "store"
	}
}

// Source is what a page was read from.
type Source struct {
	Kind SourceKind
	Node netip.AddrPort // invalid if Kind is SourceStore
}

// String returns the kind, and the address of the node if there is one.
func (s Source) String() string {
	if !s.Node.IsValid() {
		return s.Kind.String()
	}
	return s.Kind.String() + " " + s.Node.String()
}
