package slowstart

// maxSenders is the maximum number of nodes that send to a cold endpoint. With more, each would keep a
// connection open for few requests; with fewer, an endpoint is left idle when one of them has few
// clients.
const maxSenders = 4

// Share is the division among senders of the requests that a cold endpoint may get.
type Share struct {
	Senders   int // number of nodes that send to the endpoint
	PerSender int // requests per second of each sender
}

// ShareOf returns the share for a bound in requests per second. Two sets of senders together keep
// within the bound, except for a bound of 1, which a single sender uses.
func ShareOf(maxPerSecond int) Share {
	half := maxPerSecond / 2
	switch {
	case maxPerSecond <= 0:
		return Share{}
	case half == 0:
		return Share{Senders: 1, PerSender: 1}
	case half < maxSenders:
		return Share{Senders: half, PerSender: 1}
	}
	return Share{Senders: maxSenders, PerSender: half / maxSenders}
}
