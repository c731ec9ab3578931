package placement

const (
	// UnknownRate is the prefill rate assumed if no engine's rate is known, in prompt tokens per
	// second.
	UnknownRate = 5000
	// unknownSpeedBonus is the factor on the best learned rate that is assumed for an engine of
	// unknown speed. It makes such an engine the preferred one, unless queues or cached tokens
	// outweigh it.
	unknownSpeedBonus = 1.5
)

// FillUnknownRates sets the PrefillRate of engines without a learned one (0) to more than the best
// learned among the candidates. A lower rate would keep requests from a new engine, so that its
// speed would never be learned; one prompt is enough to learn it.
func FillUnknownRates(engines []EngineEstimate) {
	best := 0.0
	for i := range engines {
		best = max(best, engines[i].PrefillRate)
	}
	if best == 0 {
		best = UnknownRate
	}
	for i := range engines {
		if engines[i].PrefillRate == 0 {
			engines[i].PrefillRate = best * unknownSpeedBonus
		}
	}
}
