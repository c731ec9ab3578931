package slowstart

// mostSenders is the number of nodes that send to a cold endpoint, where the bound gives each a
// request a second. More would each keep a connection for few requests; with fewer, an endpoint
// stays unused when one of them has few callers.
const mostSenders = 4

// Share is how the bound on a cold endpoint is shared out.
type Share struct {
	Senders int // nodes that send to it
	Each    int // requests that one of them sends in any second
}

// ShareOf returns how requests of so many a second are shared out. Two sets of senders together keep to
// it, but for a bound of one, which a single sender keeps.
func ShareOf(most int) Share {
	half := most / 2
	switch {
	case most <= 0:
		return Share{}
	case half == 0:
		return Share{Senders: 1, Each: 1}
	case half < mostSenders:
		return Share{Senders: half, Each: 1}
	}
	return Share{Senders: mostSenders, Each: half / mostSenders}
}
