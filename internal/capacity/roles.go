package capacity

// roleDescription describes a role: its state, its messages and the code that implements it.
type roleDescription struct {
	role     Role
	state    string
	messages string
	carrier  string
}

var roleDescriptions = []roleDescription{
	{Entry, "open streams; last figures of engines for 10 s; grants in force", "a request's calls to owners; the engine's stream", "`router`, `runs`: rendezvous slots name 16 candidates; owners that are late are left out"},
	{EngineOwner, "queue, grants, learned speed and index of 12 engines; all soft", "load each second, open reads of events and, for the rollout, the full state each 2 s of each engine; grants in force told by entry nodes after a change of owner", "`owner`, `enginestate`, `fairqueue`; ownership by rendezvous over the member view"},
	{StoreOwner, "index, link budget and return histograms of its store hosts; all soft", "usage every 2 s, lists every hour, orders to engines", "`kvcache`: write-once names, manifests after verification, grace; correct with any number of owners"},
	{AccountOwner, "what is lent of an account, 3 s; parts leased to one lender", "calls/s as below, by demand", "`coord/limit`: keepers from the platform's list lease parts of the pool"},
	{Executor, "two bits a serial and bounded answers, of its own tickets", "one call for each ticketed request at another node; one handover at a planned stop", "`coord/ticket`: a ticket names one incarnation"},
	{ClaimHolder, "claims of endpoints and slots, read from the log", "1 append a claim and 1 a release; no renewals", "`coord/claim`, `rollout`"},
	{ModelOwner, "reports on the engines of a model, 30 s; 39 nodes have one", "a report for each engine each 10 s; a question of each node each 5 s", "`rollout`: boards are soft, claims in the log bound loads and keep the share in service"},
	{Member, "view of all members and the platform's list", "one exchange a second; the whole list each second", "`coord/member`: ring and fingers, two observers, digests"},
	{Follower, "all objects, twice by reference: replicated and typed; 8,192 change ids", "a notice for each change; a heartbeat every 2 s; 4 nodes poll the log", "`coord/changelog`: the log decides; a tree with delegated shares spreads"},
}

func (m *Model) roleTable() *table {
	t := &table{title: "Roles", note: "Every node plays all of them. Standing cost only; what requests cost is below.",
		head: []string{"role", "state", "messages", "% of a core", "MB", "B/s, both ways", "carried by"}}
	lines := m.Standing()
	for _, p := range roleDescriptions {
		var own []Line
		for _, l := range lines {
			if l.Role == p.role {
				own = append(own, l)
			}
		}
		core := Sum(own, CoreOf)
		memory := Sum(own, MemoryOf)
		bytes := Sum(own, BytesOf)
		t.add(string(p.role), p.state, p.messages, core.Times(percent).inUnit(1), memory.inUnit(mega), bytes.inUnit(1), p.carrier)
	}
	return t
}
