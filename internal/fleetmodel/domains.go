package fleetmodel

import "time"

// DomainInterval is the length of an interval in Result.Domains.
const DomainInterval = 2 * time.Second

// DomainClass identifies the callers of a class in a failure domain.
type DomainClass struct{ Domain, Class string }

// domainOutcome returns the outcome counters for a caller's failure domain, class and first arrival.
func (r *Result) domainOutcome(c *call) *Outcome {
	interval := int(c.first.Sub(c.world.start) / DomainInterval)
	for len(r.Domains) <= interval {
		r.Domains = append(r.Domains, make(map[DomainClass]*Outcome))
	}
	key := DomainClass{c.node.domain.name, c.class.Name}
	if r.Domains[interval][key] == nil {
		r.Domains[interval][key] = &Outcome{}
	}
	return r.Domains[interval][key]
}

// DomainShares returns the lowest and the highest share of a class's callers that a failure domain
// served: over the whole simulation, and in the interval with the lowest share of any domain. It
// returns ones for a class without callers.
func (r *Result) DomainShares(class string) (whole, worst [2]float64) {
	whole, worst = [2]float64{1, 1}, [2]float64{1, 1}
	sums := make(map[DomainClass]*Outcome)
	for _, interval := range r.Domains {
		if shares := extremes(interval, class); shares[0] < worst[0] {
			worst = shares
		}
		for key, o := range interval {
			if sums[key] == nil {
				sums[key] = &Outcome{}
			}
			sums[key].add(o)
		}
	}
	if shares := extremes(sums, class); shares[0] < 1 {
		whole = shares
	}
	return whole, worst
}

// extremes returns the lowest and the highest share of a class's callers that a failure domain
// served.
func extremes(outcomes map[DomainClass]*Outcome, class string) [2]float64 {
	shares := [2]float64{1, 0}
	for key, o := range outcomes {
		if key.Class == class {
			shares = [2]float64{min(shares[0], o.ShareServed()), max(shares[1], o.ShareServed())}
		}
	}
	return shares
}
