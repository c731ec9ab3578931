package capacity

// Slopes of the control costs of a node without requests.
const (
	MemberBytes    SlopeID = "member-bytes"
	MemberExchange SlopeID = "member-exchange"
	MemberStart    SlopeID = "member-start"
	ConfigBytes    SlopeID = "config-bytes"
	ConfigCalls    SlopeID = "config-calls"
	ConfigReads    SlopeID = "config-reads"
	ConfigInForce  SlopeID = "config-in-force"
	ConfigOutside  SlopeID = "config-in-force-outside"
	ConfigApply    SlopeID = "config-apply"
	LimitBytes     SlopeID = "limit-bytes"
	LimitCalls     SlopeID = "limit-calls"
	LimitRound     SlopeID = "limit-round"
	HostsBytes     SlopeID = "hosts-bytes"
	HostsCPU       SlopeID = "hosts-cpu"
	OwnedCPU       SlopeID = "owned-cpu"
	OwnerMoves     SlopeID = "owner-moves"
	RolloutSweep   SlopeID = "rollout-sweep"
	StateBytes     SlopeID = "state-bytes"
	StateCPU       SlopeID = "state-cpu"
	ReportBytes    SlopeID = "report-bytes"
	ReportCPU      SlopeID = "report-cpu"
	HoldersBytes   SlopeID = "holders-bytes"
	HoldersCPU     SlopeID = "holders-cpu"
	LoadBytes      SlopeID = "load-bytes"
	OwnedWatch     SlopeID = "owned-watch"
	StoreListBytes SlopeID = "store-list-bytes"
	StoreListCPU   SlopeID = "store-list-cpu"
	EventBytes     SlopeID = "event-bytes"
	EventCPU       SlopeID = "event-cpu"
	IdleBytes      SlopeID = "idle-bytes"
	IdleCPU        SlopeID = "idle-cpu"
	IdleMemory     SlopeID = "idle-memory"
)

// Commands that each measure several slopes.
const (
	memberCommand  = "cd coord && CHERRYWARD_MEMBER_FULL=1 go test -timeout 1200s -run Measure -v ./member"
	coreCommand    = "cd coord && go test -run xxx -bench Core -benchtime 100ms ./member"
	spreadCommand  = "cd coord && go test ./changelog -run TestSpread -spread=5m -v"
	controlCommand = "cd coord && go test -run TestMessageBytes -v ./limit"
	idleCommand    = "go test ./internal/capacity/measure -run TestIdle -measure -v"
	ownedCommand   = "go test ./internal/capacity/measure -run TestOwned -measure -v"
	ownersCommand  = "go test ./internal/cluster -run xxx -benchtime 300ms -bench Owners"
	benchCommand   = "go test ./internal/capacity -run xxx -benchtime 300ms -bench "
)

var standing = []Slope{
	{ID: MemberBytes, Title: "member: bytes sent at rest", Unit: "B/s", Per: "members", Growth: Flat, Command: memberCommand, Load: "not noted",
		Points: []Point{{7, 189}, {50, 191}, {200, 193}, {1000, 193}}},
	{ID: MemberExchange, Title: "member: an exchange, both sides, without JSON", Unit: "µs", Per: "members", Growth: Flat, Command: coreCommand, Load: "18",
		Points: []Point{{7, 1.107}, {200, 1.012}, {1000, 1.696}}},
	{ID: MemberStart, Title: "member: memory allocated for the first roster", Unit: "B", Per: "members", Command: coreCommand, Load: "18",
		Points: []Point{{7, 4664}, {200, 72_105}, {1000, 401_776}}},
	{ID: ConfigBytes, Title: "configuration: bytes in and out at 57,000 changes a day", Unit: "B/s", Per: "followers", Growth: Flat, Command: spreadCommand, Load: "not noted",
		Points: []Point{{7, 853}, {100, 1209}, {1000, 1185}}},
	{ID: ConfigCalls, Title: "configuration: messages at 57,000 changes a day", Unit: "1/s", Per: "followers", Growth: Flat, Command: spreadCommand, Load: "not noted",
		Points: []Point{{7, 0.71}, {100, 1.01}, {1000, 1.04}}},
	{ID: ConfigReads, Title: "configuration: reads of the log by all nodes", Unit: "1/s", Per: "followers", Growth: Flat, Command: spreadCommand, Load: "not noted",
		Points: []Point{{7, 4.50}, {100, 4.63}, {1000, 4.61}}},
	{ID: ConfigInForce, Title: "configuration: longest until in force, written through a node", Unit: "s", Per: "followers", Command: spreadCommand, Load: "not noted",
		Points: []Point{{7, 0.104}, {100, 0.249}, {1000, 0.681}}},
	{ID: ConfigOutside, Title: "configuration: longest until in force, written past the nodes", Unit: "s", Per: "followers", Command: spreadCommand, Load: "not noted",
		Points: []Point{{7, 0.851}, {100, 0.745}, {1000, 1.12}}},
	{ID: ConfigApply, Title: "configuration: a change of an endpoint into the typed view", Unit: "µs", Per: "endpoints", Command: "go test ./internal/config -run xxx -bench With -benchtime 100ms", Load: "13",
		Points: []Point{{9, 6.129}, {100, 14.242}, {1000, 13.091}, {12_000, 24.868}}},
	{ID: LimitBytes, Title: "limits: bytes sent, 1,300 accounts, 97 requests/s a node", Unit: "B/s", Per: "nodes", Growth: Flat, Command: controlCommand, Load: "17",
		Points: []Point{{7, 25_819}, {100, 26_300}, {1000, 25_254}}},
	{ID: LimitCalls, Title: "limits: calls, 1,300 accounts, 97 requests/s a node", Unit: "1/s", Per: "nodes", Growth: Linear, Command: controlCommand, Load: "17",
		Points: []Point{{7, 17.4}, {100, 85.3}, {1000, 86.5}}},
	{ID: LimitRound, Title: "limits: a borrower's round with nothing to ask", Unit: "µs", Per: "accounts", Command: benchCommand + "NextRound", Load: "14 to 17",
		Points: []Point{{10, 1.228}, {300, 21.9}, {1300, 167.4}}},
	{ID: HostsBytes, Title: "host list: bytes of one reading, without headers", Unit: "B", Per: "hosts", Command: benchCommand + "ReadHosts", Load: "14 to 17",
		Points: []Point{{100, 9316}, {1000, 93_613}, {13_000, 1_227_243}}},
	{ID: HostsCPU, Title: "host list: one reading, with a small server in the same process", Unit: "µs", Per: "hosts", Command: benchCommand + "ReadHosts", Load: "14 to 17",
		Points: []Point{{100, 412.3}, {1000, 2662.5}, {13_000, 29_780}}},
	{ID: OwnedCPU, Title: "owner: a second's look-ups of the owned endpoints, elapsed time", Unit: "µs", Per: "owned", Command: ownersCommand, Load: "14 to 17",
		Points: []Point{{9, 1.423}, {136, 18.7}, {1361, 225}}},
	{ID: OwnerMoves, Title: "member: a node leaves and returns, 12,000 endpoints, elapsed time", Unit: "µs", Per: "nodes", Command: ownersCommand, Load: "14 to 17",
		Points: []Point{{9, 1008.2}, {100, 695.1}, {1000, 1594.4}}},
	{ID: RolloutSweep, Title: "rollout: the look for owned engines", Unit: "µs", Per: "endpoints", Command: benchCommand + "RolloutSweep", Load: "14 to 17",
		Points: []Point{{100, 10.2}, {1000, 54.9}, {12_000, 986.7}}},
	{ID: StateBytes, Title: "rollout: what an engine has loaded, without headers", Unit: "B", Per: "weights", Command: benchCommand + "ReadState", Load: "22",
		Points: []Point{{1, 252}, {8, 658}, {64, 3960}}},
	{ID: StateCPU, Title: "rollout: what an engine has loaded, with a small server in the same process", Unit: "µs", Per: "weights", Command: benchCommand + "ReadState", Load: "22",
		Points: []Point{{1, 140.5}, {8, 127.0}, {64, 320.8}}},
	{ID: ReportBytes, Title: "rollout: a report, bytes both ways", Unit: "B", Per: "versions", Command: benchCommand + "Report", Load: "14 to 17",
		Points: []Point{{1, 233.4}, {2, 283.1}, {3, 333.1}}},
	{ID: ReportCPU, Title: "rollout: a report, both ends", Unit: "µs", Per: "versions", Command: benchCommand + "Report", Load: "14 to 17",
		Points: []Point{{1, 109.4}, {2, 150.2}, {3, 167.7}}},
	{ID: HoldersBytes, Title: "rollout: a question for holders, bytes both ways", Unit: "B", Per: "engines named", Command: benchCommand + "Holders", Load: "14 to 17",
		Points: []Point{{4, 226.3}, {16, 431.2}, {64, 1247}}},
	{ID: HoldersCPU, Title: "rollout: a question for holders, both ends", Unit: "µs", Per: "engines named", Command: benchCommand + "Holders", Load: "14 to 17",
		Points: []Point{{4, 137.2}, {16, 146.4}, {64, 280.6}}},
	{ID: LoadBytes, Title: "owner of engines: load reports, once for each engine, with HTTP headers", Unit: "B", Per: "engines", Command: benchCommand + "ReadLoad", Load: "14 to 17",
		Points: []Point{{3, 984}, {12, 3936}, {48, 15_744}}},
	{ID: OwnedWatch, Title: "owner of engines: processor time of a node without requests", Unit: "% of a core", Per: "engines", Command: ownedCommand, Load: "15 to 21",
		Points: []Point{{0, 0.250}, {6, 0.625}, {12, 1.000}, {24, 1.750}}},
	{ID: StoreListBytes, Title: "owner of stores: listing blocks and manifests, without headers", Unit: "B", Per: "blocks", Command: benchCommand + "ListStore", Load: "14 to 17",
		Points: []Point{{100, 58_593}, {500, 293_559}, {1000, 587_253}}},
	{ID: StoreListCPU, Title: "owner of stores: listing blocks and manifests, with a small server in the same process", Unit: "µs", Per: "blocks", Command: benchCommand + "ListStore", Load: "14 to 17",
		Points: []Point{{100, 2518.4}, {500, 9649.1}, {1000, 13_227}}},
	{ID: EventBytes, Title: "owner of engines: cache events, without headers", Unit: "B", Per: "events", Command: benchCommand + "Events", Load: "28 to 37",
		Points: []Point{{10, 714}, {100, 6609}, {1000, 65_559}}},
	{ID: EventCPU, Title: "owner of engines: decoding cache events", Unit: "µs", Per: "events", Command: benchCommand + "Events", Load: "28 to 37",
		Points: []Point{{10, 18.4}, {100, 119}, {1000, 1283.6}}},
	{ID: IdleBytes, Title: "whole node without requests: bytes to and from peers, with framing", Unit: "B/s", Per: "nodes", Command: idleCommand, Load: "14 to 21",
		Points: []Point{{3, 674}, {7, 834}, {14, 1008}, {28, 1060}}},
	{ID: IdleCPU, Title: "whole node without requests or endpoints: processor time", Unit: "% of a core", Per: "nodes", Growth: Flat, Command: idleCommand, Load: "14 to 21",
		Points: []Point{{3, 0.458}, {7, 0.357}, {14, 0.339}, {28, 0.375}}},
	{ID: IdleMemory, Title: "whole node without requests or endpoints: resident memory", Unit: "MB", Per: "nodes", Command: idleCommand, Load: "14 to 21",
		Points: []Point{{3, 25.3}, {7, 25.7}, {14, 25.7}, {28, 25.8}}},
}
