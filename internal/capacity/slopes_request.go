package capacity

// Slopes of requests, and of memory.
const (
	EstimateBytes SlopeID = "estimate-bytes"
	EstimateCPU   SlopeID = "estimate-cpu"
	GrantBytes    SlopeID = "grant-bytes"
	GrantCPU      SlopeID = "grant-cpu"
	FirstBytes    SlopeID = "first-bytes"
	FirstCPU      SlopeID = "first-cpu"
	ReleaseBytes  SlopeID = "release-bytes"
	ReleaseCPU    SlopeID = "release-cpu"
	OfferBytes    SlopeID = "offer-bytes"
	OfferCPU      SlopeID = "offer-cpu"
	PeerCallBytes SlopeID = "peer-call-bytes"
	PeerCallCPU   SlopeID = "peer-call-cpu"
	OwnerLookup   SlopeID = "owner-lookup"
	StoresFor     SlopeID = "stores-for"
	StoresMade    SlopeID = "stores-made"
	HostLeaving   SlopeID = "host-leaving"
	Fingerprint   SlopeID = "fingerprint"
	RequestTokens SlopeID = "request-tokens"
	RequestPrompt SlopeID = "request-prompt"
	RequestBytes  SlopeID = "request-bytes"
	ImportBytes   SlopeID = "import-bytes"
	TLSHandshake  SlopeID = "tls-handshake"
	TicketCPU     SlopeID = "ticket-cpu"

	ViewMemory        SlopeID = "view-memory"
	EngineIndexMemory SlopeID = "engine-index-memory"
	StoreIndexMemory  SlopeID = "store-index-memory"
	ConnectionMemory  SlopeID = "connection-memory"
	StreamMemory      SlopeID = "stream-memory"
	ClaimAppends      SlopeID = "claim-appends"
)

const (
	callsCommand    = benchCommand + "RequestCalls"
	requestsCommand = "go test ./internal/capacity/measure -run TestRequests -measure -v"
	memoryCommand   = "go test ./internal/capacity -run xxx -benchtime 1x -bench 'View|EngineIndex|StoreIndex'"
)

var perRequest = []Slope{
	{ID: EstimateBytes, Title: "estimate: bytes of one call, both ways", Unit: "B", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 829}, {58, 1747}, {117, 3005}}},
	{ID: EstimateCPU, Title: "estimate: processor time of one call, both ends, without the owner's work", Unit: "µs", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 195.7}, {58, 343.3}, {117, 516.1}}},
	{ID: GrantBytes, Title: "grant: bytes of one call, both ways", Unit: "B", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 710.1}, {58, 1628}, {117, 2886}}},
	{ID: GrantCPU, Title: "grant: processor time of one call, both ends, without the owner's work", Unit: "µs", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 197.1}, {58, 329.3}, {117, 493.6}}},
	{ID: FirstBytes, Title: "first token: bytes of one call, both ways", Unit: "B", Per: "chunks", Command: callsCommand, Load: "22",
		Points: []Point{{15, 182}, {58, 182}, {117, 182}}},
	{ID: FirstCPU, Title: "first token: processor time of one call, both ends, without the owner's work", Unit: "µs", Per: "chunks", Command: callsCommand, Load: "22",
		Points: []Point{{15, 123.5}, {58, 118.7}, {117, 134.2}}},
	{ID: ReleaseBytes, Title: "release: bytes of one call, both ways", Unit: "B", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 919.8}, {58, 2684}, {117, 5097}}},
	{ID: ReleaseCPU, Title: "release: processor time of one call, both ends, without the owner's work", Unit: "µs", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 229.1}, {58, 504}, {117, 860.1}}},
	{ID: OfferBytes, Title: "offer: bytes of one call, both ways", Unit: "B", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 1051}, {58, 3737}, {117, 7415}}},
	{ID: OfferCPU, Title: "offer: processor time of one call, both ends, without the owner's work", Unit: "µs", Per: "chunks", Command: callsCommand, Load: "14 to 17",
		Points: []Point{{15, 270.1}, {58, 738.5}, {117, 1446.1}}},
	{ID: ImportBytes, Title: "import: the order to the store host's owner and its answer", Unit: "B", Per: "chunks", Command: "none yet"},
	{ID: PeerCallBytes, Title: "any call between nodes: bytes both ways, empty answer", Unit: "B", Per: "bytes", Command: benchCommand + "PeerCall", Load: "14 to 17",
		Points: []Point{{100, 208.6}, {1000, 1108}, {10_000, 10_107}}},
	{ID: PeerCallCPU, Title: "any call between nodes: processor time, both ends", Unit: "µs", Per: "bytes", Command: benchCommand + "PeerCall", Load: "14 to 17",
		Points: []Point{{100, 88}, {1000, 188.3}, {10_000, 886.6}}},
	{ID: TLSHandshake, Title: "any connection between nodes: its TLS handshake", Unit: "µs", Per: "connections", Command: "none yet"},
	{ID: OwnerLookup, Title: "the owner of one endpoint", Unit: "µs", Per: "nodes", Command: "cd coord && go test -run xxx -bench Lookup/set-owner -benchtime 100ms ./rendezvous", Load: "9",
		Points: []Point{{9, 0.2685}, {100, 1.738}, {1000, 12.945}, {12_000, 152.525}}},
	{ID: StoresFor, Title: "the store hosts of one prompt", Unit: "µs", Per: "store hosts", Command: storesCommand, Load: "14 to 17",
		Points: []Point{{2, 0.2347}, {100, 1.927}, {1200, 8.973}}},
	{ID: StoresMade, Title: "the set of store hosts and one prompt's, after a change", Unit: "µs", Per: "endpoints", Command: storesCommand, Load: "14 to 17",
		Points: []Point{{11, 4.16}, {1100, 65.9}, {13_200, 783.8}}},
	{ID: HostLeaving, Title: "whether a candidate's host is leaving", Unit: "µs", Per: "hosts", Growth: Flat, Command: benchCommand + "HostLeaving", Load: "14 to 17",
		Points: []Point{{100, 0.4028}, {1000, 0.3553}, {13_000, 0.3531}}},
	{ID: Fingerprint, Title: "fingerprint of a prompt", Unit: "µs", Per: "bytes", Command: benchCommand + "Fingerprint", Load: "28 to 37",
		Points: []Point{{32_000, 25.5}, {120_000, 100.1}, {240_000, 189.3}}},
	{ID: RequestTokens, Title: "whole request, 200 bytes of prompt, 5 node processes: processor time of the nodes", Unit: "ms", Per: "tokens", Command: requestsCommand, Load: "14 to 15",
		Points: []Point{{64, 1.973}, {256, 3.504}, {1024, 9.087}}},
	{ID: RequestBytes, Title: "whole request, 240,000 bytes of prompt, 3 engines, 2 stores: bytes between nodes", Unit: "B", Per: "nodes", Command: requestsCommand, Load: "14 to 15",
		Points: []Point{{3, 17_462}, {5, 23_336}, {7, 22_695}}},
	{ID: RequestPrompt, Title: "whole request, 64 tokens, 5 node processes: processor time of the nodes", Unit: "ms", Per: "bytes", Command: requestsCommand, Load: "14 to 15",
		Points: []Point{{32_000, 5.375}, {120_000, 9.256}, {240_000, 12.848}}},
	{ID: TicketCPU, Title: "tickets of one account: issue and run, without the call", Unit: "µs", Per: "tickets", Command: "go test ./internal/capacity -run xxx -benchtime 3x -bench Tickets", Load: "28",
		Points: []Point{{1024, 17_653}, {16_384, 197_071}, {65_536, 801_000}}},
	{ID: ClaimAppends, Title: "claim: appends to the log without faults", Unit: "appends", Per: "claims", Command: "cd coord && go test -v -run ClaimLifecycle ./claim"},
}

const storesCommand = "go test ./internal/owner -run xxx -benchtime 300ms -bench StoresFor"

var memory = []Slope{
	{ID: ViewMemory, Title: "typed configuration", Unit: "B", Per: "endpoints", Command: memoryCommand, Load: "20",
		Points: []Point{{1000, 444_904}, {4000, 1_497_776}, {12_000, 4_248_672}}},
	{ID: EngineIndexMemory, Title: "index of an engine", Unit: "B", Per: "blocks", Command: memoryCommand, Load: "20",
		Points: []Point{{2900, 859_336}, {11_600, 3_471_576}, {58_000, 18_949_976}}},
	{ID: StoreIndexMemory, Title: "index of a store host", Unit: "B", Per: "blocks", Command: memoryCommand, Load: "21",
		Points: []Point{{3000, 1_545_872}, {12_000, 5_868_616}, {60_000, 31_273_024}}},
	{ID: StreamMemory, Title: "a node's resident memory with open streams", Unit: "MB", Per: "streams", Command: "go test ./internal/capacity/measure -run TestStreams -measure -v", Load: "20 to 37",
		Points: []Point{{0, 25.2}, {500, 61.4}, {1000, 76.9}, {1500, 90.7}}},
	{ID: ConnectionMemory, Title: "connections between nodes, both ends, without TLS", Unit: "B", Per: "connections", Command: benchCommand + "PeerConnections", Load: "26",
		Points: []Point{{50, 1_950_256}, {200, 7_240_384}, {800, 27_885_312}}},
}
