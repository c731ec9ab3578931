package capacity

// Loss describes the effects of the loss of nodes and servers in an event.
type Loss struct {
	Event     string
	Nodes     float64
	Servers   float64 // lost with the nodes, together with the caches in their memory
	Endpoints float64 // endpoints that change their owner
	Streams   float64 // streams that callers resume at another node
	Listed    Figure  // bytes of the store hosts' lists that new owners read
	Reading   Figure  // processor seconds for reading them, over all new owners
	Prompts   float64 // prompts whose stored blocks were on the lost servers
	Known     string  // seconds until members detect the event, as measured with 1,000
}

// rackHosts is the assumed number of hosts in a rack.
const rackHosts = 40

// Losses returns the effects of several events. The detection times are those of docs/design/members.md
// with 1,000 members and no message loss: p50, p99 and all pairs.
func (m *Model) Losses() []Loss {
	nodes, servers := float64(m.Size.Nodes), float64(m.Size.Servers)
	rackNodes := rackHosts * nodes / (nodes + servers)
	domain, region := nodes/float64(m.Size.Domains), nodes/float64(m.Size.Regions)
	return []Loss{
		m.loss("a node is replaced (leaves)", 1, 0, "0.1 / 0.1 / 0.1"),
		m.loss("a node fails", 1, 0, "4.8 / 6.5 / 7.0"),
		m.loss("a rack of 40 hosts (assumed) fails", rackNodes, rackHosts-rackNodes, "not measured"),
		m.loss("a failure domain fails", domain, servers/float64(m.Size.Domains), "6.2 / 10.6 / 18.3"),
		m.loss("a region is cut off", region, servers/float64(m.Size.Regions), "not measured"),
	}
}

func (m *Model) loss(event string, nodes, servers float64, known string) Loss {
	perNode := m.StoredBlocksPerNode()
	left := 1 - servers/float64(m.Size.Servers) // of the endpoints
	blocks := perNode * nodes * left
	return Loss{
		Event:     event,
		Nodes:     nodes,
		Servers:   servers,
		Endpoints: nodes * m.Size.OwnedPerNode() * left,
		Streams:   nodes * m.Size.StreamsPerNode(),
		Listed:    m.Slope(StoreListBytes).PerUnit().Times(blocks / listsPerSweep),
		Reading:   m.Slope(StoreListCPU).PerUnit().Times(blocks / listsPerSweep * microseconds),
		Prompts:   float64(m.Size.Returning) * servers / float64(m.Size.Servers),
		Known:     known,
	}
}

// listsPerSweep is the number of lists, of similar size, in a sweep: those of blocks and of manifests.
// A new owner only reads the manifests.
const listsPerSweep = 2
