package capacity

func (m *Model) workersLine() Line {
	return Line{Role: EngineOwner, What: "the rollout service's look for owned engines, each second over all", Basis: "12,000 endpoints",
		Slopes: []SlopeID{RolloutSweep},
		Core:   m.at(RolloutSweep, float64(m.Size.Servers)).Times(ownerSweeps * microseconds)}
}

func (m *Model) stateLine() Line {
	reads := m.Size.OwnedPerNode() * stateReads
	return Line{Role: EngineOwner, What: "the rollout workers' readings of what is loaded, each 2 s", Basis: "12 engines with one set of weights; with a small server's share",
		Slopes: []SlopeID{StateBytes, StateCPU},
		Core:   m.at(StateCPU, 1).Times(reads * microseconds),
		Bytes:  m.at(StateBytes, 1).Times(reads)}
}

func (m *Model) reportLine() Line {
	calls := m.Size.OwnedPerNode() * reportsMade
	return Line{Role: ModelOwner, What: "reports on engines, each 10 s", Basis: "1.2 a second made and 1.2 served on the mean; one version; without the board's work",
		Slopes: []SlopeID{ReportBytes, ReportCPU},
		Core:   m.at(ReportCPU, 1).Times(calls * microseconds),
		Bytes:  m.at(ReportBytes, 1).Times(calls * bothDirections)}
}

func (m *Model) holdersLine() Line {
	calls := float64(m.Size.Models) * holdersAsked
	return Line{Role: ModelOwner, What: "questions for the holders of versions, each 5 s and model", Basis: "39 models used at each node: 7.8 a second made and 7.8 served on the mean; 64 engines named; without the board's work",
		Slopes: []SlopeID{HoldersBytes, HoldersCPU},
		Core:   m.at(HoldersCPU, namedEngines).Times(calls * microseconds),
		Bytes:  m.at(HoldersBytes, namedEngines).Times(calls * bothDirections)}
}

// storeSetLine assumes that a request follows every change, so that the set is rebuilt each time.
func (m *Model) storeSetLine() Line {
	return Line{Role: Entry, What: "the set of store hosts, made anew after each change", Basis: "12,000 endpoints, 57,000 changes a day",
		Slopes: []SlopeID{StoresMade},
		Core:   m.at(StoresMade, float64(m.Size.Servers)).Times(m.Size.ChangesPerSecond() * microseconds)}
}
