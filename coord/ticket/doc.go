// Package ticket runs non-idempotent calls at most once. It needs no shared
// store, no consensus and no synchronised clocks.
//
// A ticket names the single process incarnation, its executor, that may run the
// call. A client account requests tickets in batches, sends one with each
// non-idempotent call to any node, and retries the call with the same ticket if
// the answer is lost. The node that receives the call forwards it to the
// executor, which stores two bits for each serial that it issued and, for a
// limited time, the answer.
//
// The following guarantees hold if messages are lost, duplicated or delayed and
// if processes are killed:
//
//   - A ticket's call is started at most once. If its executor is gone, the call
//     is not run, and the caller gets [MayHaveRun].
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
