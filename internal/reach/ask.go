package reach

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/datagram"
)

const (
	// probeMethod asks a node to connect to an endpoint, resultMethod states the outcome. Both are
	// notifications that may be lost or repeated.
	probeMethod  = "node.probe"
	resultMethod = "node.probed"

	// askedPeers is the number of random nodes that are asked for one endpoint.
	askedPeers = 3
	// maxServed bounds the probes that a node carries out for others at the same time. Further
	// questions stay unanswered.
	maxServed = 16
)

// Outcome is the result of an attempt to connect to an endpoint.
type Outcome int

const (
	// Unknown means that the attempt timed out, or was not made.
	Unknown Outcome = iota
	// Refused means that nothing listens at the address.
	Refused
	// Connected means that the endpoint runs.
	Connected
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{Unknown: "unknown", Refused: "refused", Connected: "connected"}[o]
}

// question is the parameter of probeMethod.
type question struct {
	ID      uint64 `json:"id"`
	ReplyTo string `json:"reply_to"` // IP:PORT
	Addr    string `json:"addr"`     // of the endpoint, IP:PORT
}

// reply is the parameter of resultMethod.
type reply struct {
	ID      uint64  `json:"id"`
	Outcome Outcome `json:"outcome"`
}

// Conn carries notifications between nodes. It does not retransmit them.
type Conn interface {
	Handle(method string, h datagram.Handler)
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
	Addr() string
}

// Asker asks other nodes whether they can connect to an endpoint, and answers their questions. It tells
// an endpoint that has ended from one that only this node can't reach.
type Asker struct {
	Conn Conn
	// Peers returns the other nodes.
	Peers func() []netip.AddrPort
	// Probe attempts to connect to an endpoint for another node. It returns Unknown for an address that
	// is not an endpoint's.
	Probe func(ctx context.Context, addr string) Outcome

	mu      sync.Mutex
	served  int
	pending map[uint64]chan Outcome
}

// Serve registers the handlers of messages. It must be called before messages arrive.
func (a *Asker) Serve() {
	a.Conn.Handle(probeMethod, a.handleQuestion)
	a.Conn.Handle(resultMethod, a.handleReply)
}

// Ask returns what some other nodes find: Connected if any of them can connect to the endpoint, Refused
// if all that replied before ctx ended were refused, and Unknown otherwise.
func (a *Asker) Ask(ctx context.Context, addr string) Outcome {
	peers := a.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(askedPeers, len(peers))]
	if len(peers) == 0 {
		return Unknown
	}
	id, replies := a.register()
	defer a.unregister(id)
	a.Conn.Notify(peers, probeMethod, question{ID: id, ReplyTo: a.Conn.Addr(), Addr: addr})
	combined := Unknown
	for range peers {
		select {
		case <-ctx.Done():
			return combined
		case outcome := <-replies:
			if outcome == Connected {
				return Connected
			}
			combined = max(combined, outcome)
		}
	}
	return combined
}

func (a *Asker) register() (uint64, <-chan Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[uint64]chan Outcome)
	}
	id, replies := rand.Uint64(), make(chan Outcome, askedPeers)
	a.pending[id] = replies
	return id, replies
}

func (a *Asker) unregister(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

func (a *Asker) handleReply(params json.RawMessage) (any, error) {
	var r reply
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode the outcome of a probe")
	}
	if r.Outcome < Unknown || r.Outcome > Connected {
		return nil, eris.Errorf("decode the outcome of a probe: %d is out of range", r.Outcome)
	}
	a.mu.Lock()
	replies := a.pending[r.ID]
	a.mu.Unlock()
	select {
	case replies <- r.Outcome:
	default: // late, or repeated
	}
	return nil, nil
}

// handleQuestion carries out a probe in the background, since messages are handled one after the other.
func (a *Asker) handleQuestion(params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode a question for a probe")
	}
	to, err := netip.ParseAddrPort(q.ReplyTo)
	if err != nil {
		return nil, eris.Wrap(err, "decode the address of a node that asks for a probe")
	}
	if !a.begin() {
		return nil, nil
	}
	go func() {
		defer a.end()
		outcome := a.Probe(context.Background(), q.Addr)
		a.Conn.Notify([]netip.AddrPort{to}, resultMethod, reply{ID: q.ID, Outcome: outcome})
	}()
	return nil, nil
}

// begin reports whether one more probe may be carried out for another node.
func (a *Asker) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.served == maxServed {
		return false
	}
	a.served++
	return true
}

func (a *Asker) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served--
}
