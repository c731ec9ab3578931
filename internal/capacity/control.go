package capacity

// Rates of the daemon's timers, and limits.
const (
	limitRounds    = 10.0 / 3 // per second: one per tenth of the lease
	hostChanges    = 2.0      // changes of the host list per replaced host
	daySeconds     = 86_400.0
	ownerSweeps    = 1.0    // per second
	loadReads      = 1.0    // per second and engine
	stateReads     = 0.5    // per second and engine, by its rollout worker
	reportsMade    = 0.1    // per second and engine, for one model
	holdersAsked   = 0.2    // per second and model used by a node's callers
	namedEngines   = 64     // maximum in a response
	storeSweep     = 3600.0 // seconds
	eventsPerBlock = 2.0    // one when it is added, one when it is evicted
	microseconds   = 1e-6
)

// Standing returns the control costs of a node that don't depend on requests, and in addition those of
// limits and cache events, which do.
func (m *Model) Standing() []Line {
	return []Line{m.memberLine(), m.configLine(), m.limitLine(), m.hostsLine(), m.ownedLine(), m.movesLine(), m.workersLine(),
		m.loadLine(), m.stateLine(), m.eventLine(), m.storeLine(), m.storeSetLine(), m.reportLine(), m.holdersLine(), m.framingLine()}
}

func (m *Model) memberLine() Line {
	nodes := float64(m.Size.Nodes)
	return Line{Role: Member, What: "exchanges, one a second as caller and one as called", Basis: "2 x bytes sent; 2 exchanges; the roster as allocated",
		Slopes: []SlopeID{MemberBytes, MemberExchange, MemberStart},
		Core:   m.at(MemberExchange, nodes).Times(2 * microseconds).Plus(m.at(PeerCallCPU, 200).Times(1 * microseconds)),
		Memory: m.at(MemberStart, nodes),
		Bytes:  m.at(MemberBytes, nodes).Times(bothDirections)}
}

func (m *Model) configLine() Line {
	nodes := float64(m.Size.Nodes)
	perChange := m.at(ConfigApply, float64(m.Size.Servers)).Times(m.Size.ChangesPerSecond() * microseconds)
	messages := m.at(PeerCallCPU, 1000).Times(microseconds).Times(m.at(ConfigCalls, nodes).Value)
	return Line{Role: Follower, What: "changes and heartbeats", Basis: "bytes as measured; each message as a call of 1,000 B; each change into the view; the view's memory",
		Slopes: []SlopeID{ConfigBytes, ConfigCalls, PeerCallCPU, ConfigApply, ViewMemory},
		Core:   perChange.Plus(messages),
		Memory: m.at(ViewMemory, float64(m.Size.Servers)),
		Bytes:  m.at(ConfigBytes, nodes)}
}

func (m *Model) limitLine() Line {
	nodes := float64(m.Size.Nodes)
	rounds := m.at(LimitRound, float64(m.Size.Accounts)).Times(limitRounds * microseconds)
	calls := m.at(PeerCallCPU, 300).Times(microseconds).Times(m.at(LimitCalls, nodes).Value)
	return Line{Role: AccountOwner, What: "shares asked for and lent, parts kept", Basis: "2 x bytes sent; each call as one of 300 B; 3.3 rounds a second",
		Slopes: []SlopeID{LimitBytes, LimitCalls, LimitRound, PeerCallCPU},
		Core:   rounds.Plus(calls),
		Bytes:  m.at(LimitBytes, nodes).Times(bothDirections)}
}

func (m *Model) hostsLine() Line {
	hosts := m.Size.Hosts()
	reads := m.Size.Replaced * hostChanges / daySeconds
	return Line{Role: Member, What: "the platform's list of hosts, read as a whole when it has changed", Basis: "13,000 entries; two changes a host replaced; without the answers that nothing changed",
		Slopes: []SlopeID{HostsBytes, HostsCPU},
		Core:   m.at(HostsCPU, hosts).Times(reads * microseconds),
		Bytes:  m.at(HostsBytes, hosts).Times(reads)}
}

func (m *Model) ownedLine() Line {
	return Line{Role: EngineOwner, What: "the owner's sweep, each second", Basis: "a look-up for each of 12 owned endpoints",
		Slopes: []SlopeID{OwnedCPU},
		Core:   m.Slope(OwnedCPU).PerUnit().Times(m.Size.OwnedPerNode() * ownerSweeps * microseconds)}
}

// movesLine assumes that every replaced host is a node.
func (m *Model) movesLine() Line {
	return Line{Role: Member, What: "the table of owners, when a node leaves and returns", Basis: "12,000 endpoints, 1,000 nodes, 2,900 times a day",
		Slopes: []SlopeID{OwnerMoves},
		Core:   m.at(OwnerMoves, float64(m.Size.Nodes)).Times(m.Size.Replaced / secondsPerDay * microseconds)}
}

func (m *Model) loadLine() Line {
	owned := m.Size.OwnedPerNode()
	return Line{Role: EngineOwner, What: "load reports and open reads of events and state of 12 engines", Basis: "load reports' bytes; the processor time that 12 nearly empty engines add to an idle node; indexes of 10,000 blocks each",
		Slopes: []SlopeID{LoadBytes, OwnedWatch, EngineIndexMemory},
		Core:   m.Slope(OwnedWatch).PerUnit().Times(owned / percent),
		Memory: m.at(EngineIndexMemory, indexedBlocks).Times(owned),
		Bytes:  m.at(LoadBytes, owned).Times(loadReads)}
}

// indexedBlocks is the assumed number of blocks in an engine's index, whose maximum is 65,536.
const indexedBlocks = 10_000

// BlockRate returns the blocks per second that generated tokens fill at the engines of one node. Blocks
// of recomputed prompts are not included.
func (m *Model) BlockRate() float64 { return m.Size.TokensPerNode() / m.Work.BlockTokens }

func (m *Model) eventLine() Line {
	events := m.BlockRate() * eventsPerBlock
	return Line{Role: EngineOwner, What: "cache events of generated tokens", Basis: "one event when a block comes and one when it goes; those of recomputed prompts come on top",
		Slopes: []SlopeID{EventBytes, EventCPU},
		Core:   m.Slope(EventCPU).PerUnit().Times(events * microseconds),
		Bytes:  m.Slope(EventBytes).PerUnit().Times(events)}
}

// StoredBlocksPerNode returns the number of stored blocks in one node's index if every returning prompt
// is stored once.
func (m *Model) StoredBlocksPerNode() float64 {
	return float64(m.Size.Returning) * m.Work.Blocks() / float64(m.Size.Nodes)
}

func (m *Model) storeLine() Line {
	blocks := m.StoredBlocksPerNode()
	return Line{Role: StoreOwner, What: "sweeps: all blocks and manifests listed every hour", Basis: "all returning prompts stored once, spread evenly over the nodes",
		Slopes: []SlopeID{StoreListBytes, StoreListCPU, StoreIndexMemory},
		Core:   m.Slope(StoreListCPU).PerUnit().Times(blocks / storeSweep * microseconds),
		Memory: m.Slope(StoreIndexMemory).PerUnit().Times(blocks),
		Bytes:  m.Slope(StoreListBytes).PerUnit().Times(blocks / storeSweep)}
}

// framingLine returns the JSON-RPC overhead of the members' and followers' messages. Those of the limits
// include it already.
func (m *Model) framingLine() Line {
	calls := 1 + m.at(ConfigCalls, float64(m.Size.Nodes)).Value
	overhead := m.at(PeerCallBytes, 0).Times(calls * bothDirections)
	return Line{Role: EveryRole, What: "framing of the members' and followers' calls", Basis: "2 calls a second made and 2 served; an empty call", Slopes: []SlopeID{PeerCallBytes, ConfigCalls}, Bytes: overhead}
}

// Base returns the costs of a node process and its connections, without any of the standing costs.
func (m *Model) Base() []Line {
	return []Line{
		{Role: EveryRole, What: "the process, without endpoints", Basis: "3 to 28 nodes; memory at 28; the time holds the members' and followers' calls once more", Slopes: []SlopeID{IdleCPU, IdleMemory},
			Core: m.at(IdleCPU, 28).Times(1.0 / percent), Memory: m.at(IdleMemory, 28).Times(mega)},
		{Role: EveryRole, What: "a connection to and from each other node", Basis: "1,000 of both ends", Slopes: []SlopeID{ConnectionMemory},
			Memory: m.Slope(ConnectionMemory).PerUnit().Times(float64(m.Size.Nodes))},
	}
}
