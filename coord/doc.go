// Package coord is the root of a library of coordination mechanisms: membership, replicated
// configuration over a shared log, claims with fencing tokens, execution tickets, system-wide
// limits, retry budgets and fair queues.
//
// Each sub-package implements one mechanism, states its guarantees in its package comment,
// takes its clock, transport and log as narrow interfaces, and imports nothing from the
// cherryward daemon.
package coord
