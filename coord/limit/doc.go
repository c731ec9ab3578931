// Package limit enforces one limit per client account over all nodes, without
// a shared store.
//
// A limit L is divided in two. The fraction Settings.StaticShare is divided
// evenly among the maximum number of nodes, Settings.Nodes: each node may always
// use its static share. The rest, the pool, is divided into Settings.Parts equal
// parts. Each part is managed by one node's Keeper, which is selected from the
// roster (the list of member nodes) alone, regardless of which nodes are alive.
// A keeper leases its part to at most one Lender at a time, for a part lease:
// Settings.PartLease for rates, Settings.RunPartLease for run slots. Each account
// has an owner node, which the application selects (LenderConfig.Owner). The
// lender of the owner node acquires the parts and lends their amounts, by demand,
// to the Borrower of each node, for a few seconds at a time.
//
// The following bounds hold for any set of dead, paused, restarted or
// partitioned nodes and any number of nodes that consider themselves the owner,
// provided that at most Settings.Nodes nodes run and that the durations measured
// by two nodes differ by at most Settings.Drift during a part lease:
//
//   - Rates: in any time window w, all nodes together admit at most
//     L*w + Settings.Excess(L) of an account, plus corrections not yet deducted.
//   - Runs: the valid run slots of an account never add up to more than L. Runs
//     that continue after the slots of their node have expired are not stopped
//     and are not counted; the node starts no further run until it has enough
//     slots again.
//
// Both bounds hold while all nodes agree on an account's keepers. If rosters
// differ and r nodes in addition to the m keepers act as keepers, the pool may be
// lent up to 1+r/m times, until one part lease after the rosters agree again.
//
// Without a lender, a node can use only its static share. Keepers, lenders and
// borrowers do no I/O and read no clock: Next returns outgoing messages, Handle
// and Receive take incoming ones. Lost, late and reordered messages reduce
// utilisation but never break a bound.
package limit
