package peerload

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// noticeMethod is the name of the notification that carries a Notice.
	noticeMethod = "node.placed"
	// noticeQueueLength is the number of notices that may wait to be sent. Later ones are withheld,
	// so that a placement never waits for the network.
	noticeQueueLength = 32
	// noticeDelay is the estimated time in which a notice reaches the other nodes of a failure
	// domain.
	noticeDelay = 5 * time.Millisecond
)

// Notice reports a prompt that a node has just sent to an engine to the other nodes of its failure
// domain. Their load reports include the prompt some 40 to 120 ms later, and until then nodes that
// know only the reports would place on the same engines.
type Notice struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	// Seq is the number of the newest digest at the time of the notice. All later digests of the
	// incarnation include the prompt.
	Seq      int64  `json:"seq"`
	Endpoint string `json:"endpoint"`
	// Start is the tag of the endpoint's start; 0 if unknown.
	Start        StartTag `json:"start,omitempty"`
	PromptTokens int      `json:"prompt"` // tokens to prefill
	HeldTokens   int      `json:"held"`   // tokens in the endpoint's memory
}

// noticeState is the state of an Exchange that concerns notices.
type noticeState struct {
	pacer         noticePacer
	queue         chan *Notice
	counters      noticeCounters
	domainEngines atomic.Int64   // number of engines in this failure domain
	unknownNode   rate.Sometimes // limits the log lines on notices of unknown nodes
	// unpacedBytes are the bytes of notices since the last digest. They delay the next digest, so that
	// notices and digests together stay within the limit on the host's link.
	unpacedBytes atomic.Int64
	recipients   atomic.Pointer[[]netip.AddrPort] // nil while no notices are sent
}

func newNoticeState() noticeState {
	return noticeState{queue: make(chan *Notice, noticeQueueLength), unknownNode: rate.Sometimes{Interval: time.Second}}
}

// setRecipients sets the nodes that notices are sent to, given this node's role: those of the failure
// domain, without the collectors. They receive this node's digest as soon after a placement as the
// limit of 400 digests per second allows, and notices to them would exceed it. As long as no collector
// is known, this holds for all nodes.
func (s *noticeState) setRecipients(local []netip.AddrPort, role *Role) {
	if !role.Collects && len(role.Collectors) == 0 {
		s.recipients.Store(nil)
		return
	}
	recipients := make([]netip.AddrPort, 0, len(local))
	for _, addr := range local {
		if !slices.Contains(role.Collectors, addr) {
			recipients = append(recipients, addr)
		}
	}
	s.recipients.Store(&recipients)
}

// check returns an error if the notice holds values that no node sends.
func (n *Notice) check() error {
	switch {
	case n.Node == "" || n.Endpoint == "":
		return eris.New("check notice: node or endpoint is missing")
	case n.Seq < 0 || n.Start < 0 || n.Start > startTagCount:
		return eris.Errorf("check notice: number %d or start tag %d is out of range", n.Seq, n.Start)
	case min(n.PromptTokens, n.HeldTokens) < 0 || max(n.PromptTokens, n.HeldTokens) > maxCount:
		return eris.Errorf("check notice: %d prompt tokens or %d held tokens are out of range", n.PromptTokens, n.HeldTokens)
	}
	return nil
}

// AnnouncePlacement announces a prompt that was sent to an engine to the other nodes of the failure
// domain, if the load calls for it and the limits allow it. It must be called after m.Load.Begin
// for the prompt, and never blocks.
func (e *Exchange) AnnouncePlacement(m *fleet.Member, promptTokens, heldTokens int) {
	// A digest reads the loads after it has raised seq, so each digest with a later number includes
	// the prompt. The digest with this number may include it, too, if its loads are being read at
	// this moment; the prompt then counts twice until the next digest.
	seq := e.seq.Load()
	if !e.noticesSupported() || !e.notices.pacer.take(e.noticeLimits(), e.config.Clock.Now()) {
		return
	}
	notice := &Notice{
		Node: e.config.Node, Incarnation: e.incarnation, Seq: seq, Endpoint: m.ID, Start: startTagOf(m.StartedMs),
		PromptTokens: clampCount(promptTokens), HeldTokens: clampCount(heldTokens),
	}
	select {
	case e.notices.queue <- notice:
	default:
		e.notices.pacer.withhold(e.config.Clock.Now())
	}
}

// readLoads returns the number of the next digest and this node's loads for it. It raises seq before
// it reads the loads, so that they include each prompt whose notice has a lower number.
func (e *Exchange) readLoads(members []*fleet.Member) (seq int64, loads []taggedLoad) {
	seq = e.seq.Add(1)
	return seq, loadsOf(members, e.config.Clock.Now())
}

// NoticesInUse reports whether this node announces all of its placements, and learns of those of the
// other nodes of the failure domain from their notices or, as a collector, from their digests.
func (e *Exchange) NoticesInUse() bool {
	now := e.config.Clock.Now()
	return e.noticesSupported() && e.notices.pacer.inUse(e.noticeLimits(), e.IsCollector(), now)
}

// noticesSupported reports whether digests go through collectors. Nodes of a smaller system receive
// each other's digests directly, and so within some 15 ms.
func (e *Exchange) noticesSupported() bool {
	return !e.FullMesh() && e.notices.recipients.Load() != nil
}

// noticeLimits returns the failure domain's size, on which the limits on notices depend.
func (e *Exchange) noticeLimits() noticeLimits {
	peers, reportAge := e.reportAge()
	return noticeLimits{peers: peers, engines: int(e.notices.domainEngines.Load()), reportAge: reportAge, link: e.config.LinkBytes}
}

// sendNotices sends the queued notices until ctx is done.
func (e *Exchange) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case notice := <-e.notices.queue:
			if to := e.notices.recipients.Load(); to != nil {
				e.sendNotice(notice, *to)
			}
		}
	}
}

// sendNotice sends a notice.
func (e *Exchange) sendNotice(notice *Notice, to []netip.AddrPort) {
	bytes := e.config.Conn.Notify(to, noticeMethod, notice)
	e.notices.unpacedBytes.Add(int64(bytes))
	e.notices.counters.sent.Add(int64(len(to)))
	e.notices.counters.sentBytes.Add(int64(bytes))
}

// receiveNotice handles a notice of a peer.
func (e *Exchange) receiveNotice(params json.RawMessage) (any, error) {
	var n Notice
	err := json.Unmarshal(params, &n)
	if err == nil {
		err = n.check()
	}
	if err != nil {
		e.notices.counters.add(NoticeInvalid)
		return nil, eris.Wrap(err, "receive notice")
	}
	if !e.knowsLocal(n.Node) {
		e.notices.counters.add(NoticeUnknownNode)
		e.notices.unknownNode.Do(func() {
			e.log.Warn().Str("event", "notice_rejected").Str("from", n.Node).Str("error", "node is not listed").Send()
		})
		return nil, nil
	}
	now := e.config.Clock.Now()
	outcome := e.Table.RecordNotice(&n, now)
	e.notices.counters.add(outcome)
	if outcome == NoticeCounted || outcome == NoticeIncluded {
		e.notices.pacer.recordAnnounced(now)
	}
	return nil, nil
}

// knowsLocal reports whether a name is that of another listed node of this failure domain.
func (e *Exchange) knowsLocal(node string) bool {
	peers := e.peers.Load()
	return peers != nil && peers.localNames[node]
}

// countDomainEngines returns the number of engines in a failure domain.
func countDomainEngines(members []*fleet.Member, domain string) (count int64) {
	for _, m := range members {
		if at := m.Endpoint(); at.Domain == domain && len(at.Weights) > 0 {
			count++
		}
	}
	return count
}
