package experiment

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleetmodel"
	"github.com/cherryward/cherryward/internal/placer"
)

// config returns the simulation for a policy and a seed.
func (f *File) config(p *Policy, seed uint64) fleetmodel.Config {
	c := fleetmodel.Config{
		Seed: seed, Length: time.Duration(f.Length), EventDelay: time.Duration(f.Fleet.EventDelay),
		StoreTokens: f.Fleet.StoreTokens, StatedMemory: f.Fleet.StatedMemoryTokens,
		Engines: f.engines(), Classes: f.classes(), Faults: f.faults(),
	}
	p.apply(&c)
	return c
}

// apply applies the settings of the policy that are not nil.
func (p *Policy) apply(c *fleetmodel.Config) {
	if p.StatedMemoryTokens != nil {
		c.StatedMemory = *p.StatedMemoryTokens
	}
	if p.MemoryAdmission != nil && !*p.MemoryAdmission {
		c.StatedMemory = 0
	}
	if p.Store != nil && !*p.Store {
		c.StoreTokens = 0
	}
	tuning := placer.DefaultTuning()
	if p.LateShare != nil {
		tuning.QueueShare = *p.LateShare
	}
	if p.ReserveShare != nil {
		tuning.ReserveShare = *p.ReserveShare
	}
	c.Tuning, c.MaxWaitShare = &tuning, p.WaitingShare
}

func (f *File) engines() []fleetmodel.EngineConfig {
	var all []fleetmodel.EngineConfig
	for _, e := range f.Fleet.Engines {
		for range e.Count {
			all = append(all, fleetmodel.EngineConfig{
				Memory: e.MemoryTokens, Slots: e.Slots, PrefillPerMs: e.ReadTokensPerMs,
				StepMs: e.StepMs, RunStepMs: *e.RequestStepMs, ChunkTokens: e.ChunkTokens,
			})
		}
	}
	return all
}

func (f *File) classes() []fleetmodel.Class {
	all := make([]fleetmodel.Class, len(f.Load))
	for i, k := range f.Load {
		all[i] = fleetmodel.Class{
			Name: k.Name, PerSecond: k.RequestsPerSecond, Burst: k.Burst, Rank: k.Rank,
			Sessions: k.Sessions, Skew: k.SessionSkew, Accounts: k.Accounts, AccountTokens: k.AccountTokens,
			SharedTokens: k.SharedTokens, OwnTokens: k.OwnTokens, OutputTokens: k.OutputTokens,
			Objective: time.Duration(k.Objective), Deadline: time.Duration(k.Deadline),
		}
	}
	return all
}

func (f *File) faults() []fleetmodel.Fault {
	all := make([]fleetmodel.Fault, len(f.Faults))
	for i, fault := range f.Faults {
		all[i] = fleetmodel.Fault{
			Engine: f.engineIndex(fault.Engine) + fault.Number, SlowFactor: fault.Factor,
			At: time.Duration(fault.At), Length: time.Duration(fault.For),
		}
	}
	return all
}

// engineIndex returns the index of the first engine of the named kind.
func (f *File) engineIndex(name string) int {
	before := 0
	for _, e := range f.Fleet.Engines {
		if e.Name == name {
			break
		}
		before += e.Count
	}
	return before
}
