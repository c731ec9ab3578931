// Package ticket runs non-idempotent calls at most once. It needs no shared
// store, no consensus and no synchronised clocks.
//
// A ticket names the only process that may run its call, the executor, by its
// incarnation: one start of a node's process. A client account requests tickets
// in batches, sends one with each non-idempotent call to any node, and retries
// the call with the same ticket if the answer is lost. The node that receives the
// call forwards it to the executor, which stores two bits for each of the latest
// serials that it issued and, for a limited time, the answer.
//
// The following guarantees hold even if messages are lost, duplicated or delayed
// and processes are killed:
//
//   - A ticket's call is started at most once. If its executor is gone, the call
//     is not started any more, and the caller gets [MayHaveRun], because it may
//     have run before.
//   - [NotRun] is reliable: the call did not run, and will not unless the caller
//     presents the ticket again. If the executor started the call and the
//     service reported that nothing was executed, the ticket is used up, so that
//     a delayed duplicate of the call cannot run after the refusal.
//   - A retry gets the same answer while it is cached, and afterwards [Ran] or
//     [MayHaveRun] without an answer.
//   - A ticket is valid only for the account that it was issued to.
//
// The guarantees depend on unique incarnations: each start of a process must
// create a new one with [NewIncarnation] and never restore an earlier one.
package ticket
