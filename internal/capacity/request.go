package capacity

// Numbers of calls per request, at the planned size and in the measured fleet of 5 nodes.
const (
	storeHosts       = 1000 // assumed number among the servers
	storesForCalls   = 2.0  // one by the entry node and one by the engine's owner
	fleetTokens      = 64   // tokens per request in the measurement
	fleetEstimates   = 2.7  // 5 endpoints over 5 nodes: 3.4 owners, less the entry node's own 0.7
	offersPerRequest = 1.0
)

// Estimates returns the number of estimate calls of one request. It assumes that each candidate has a
// different owner, which is nearly so at the planned size.
func (m *Model) Estimates() float64 { return m.Work.Candidates + m.Work.Stores }

// Request returns the processor time of one request of the assumed workload, in seconds of a core over
// all nodes.
func (m *Model) Request() []Line {
	chunks, prompt := m.Work.Chunks(), m.Work.PromptBytes
	calls := m.Estimates() + 1 + 1 + 1 + offersPerRequest
	return []Line{
		{Role: Entry, What: "the request whole, as in a fleet of 5 nodes and 5 endpoints, 64 tokens", Basis: "prompt of 240,000 bytes", Slopes: []SlopeID{RequestPrompt},
			Core: m.at(RequestPrompt, prompt).Times(1 / msPerSecond)},
		{Role: Entry, What: "the further tokens of the answer", Basis: "289 tokens instead of 64", Slopes: []SlopeID{RequestTokens},
			Core: m.Slope(RequestTokens).PerUnit().Times((m.Size.TokensPerRequest() - fleetTokens) / msPerSecond)},
		{Role: Entry, What: "the further estimates", Basis: "18 instead of 2.7", Slopes: []SlopeID{EstimateCPU},
			Core: m.at(EstimateCPU, chunks).Times((m.Estimates() - fleetEstimates) * microseconds)},
		{Role: Entry, What: "finding the store hosts, at entry and at the engine's owner", Basis: "2 look-ups in 1,000 store hosts (assumed)", Slopes: []SlopeID{StoresFor},
			Core: m.at(StoresFor, storeHosts).Times(storesForCalls * microseconds)},
		{Role: Entry, What: "looking for leaving hosts", Basis: "16 candidates; 130 of 13,000 hosts leaving", Slopes: []SlopeID{HostLeaving},
			Core: m.at(HostLeaving, m.Size.Hosts()).Times(m.Work.Candidates * microseconds)},
		{Role: Entry, What: "looking up owners", Basis: "22 calls, each as a look-up of the rollout service's", Slopes: []SlopeID{RolloutSweep},
			Core: m.Slope(RolloutSweep).PerUnit().Times(calls * microseconds)},
		{Role: Executor, What: "a ticket, if each request had one", Basis: "issued and run", Slopes: []SlopeID{TicketCPU},
			Core: m.Slope(TicketCPU).PerUnit().Times(microseconds)},
	}
}

// Messages returns the cost of one request's calls between nodes. Bytes are counted at both ends: each is
// sent by one node and received by another.
func (m *Model) Messages() []Line {
	chunks := m.Work.Chunks()
	line := func(role Role, what, basis string, count float64, bytes, cpu SlopeID) Line {
		return Line{Role: role, What: what, Basis: basis, Slopes: []SlopeID{bytes, cpu},
			Core:  m.at(cpu, chunks).Times(count * microseconds),
			Bytes: m.at(bytes, chunks).Times(count * bothDirections)}
	}
	return []Line{
		line(Entry, "estimate", "16 engines and 2 store hosts, each with an owner of its own", m.Estimates(), EstimateBytes, EstimateCPU),
		line(EngineOwner, "grant", "1", 1, GrantBytes, GrantCPU),
		line(EngineOwner, "first token", "1", 1, FirstBytes, FirstCPU),
		line(EngineOwner, "release", "1, with the blocks that the run left", 1, ReleaseBytes, ReleaseCPU),
		line(StoreOwner, "offer", "1, from the engine's owner to the store host's", offersPerRequest, OfferBytes, OfferCPU),
		{Role: StoreOwner, What: "import", Basis: "for the prompts that need one", Slopes: []SlopeID{ImportBytes}, NotMeasured: true},
	}
}
