// Package enginestate holds the state that the owner of an engine keeps for it: granted runs,
// queued requests, learned speed, and whether the engine is in rotation.
//
// Guarantees:
//   - A request ends exactly once: granted, expired, refused, displaced or canceled. One that was
//     not granted did not run.
//   - Grants follow the fair order between classes and client accounts.
//   - A grant ends by Release, or expires some time after its deadline, so that a lost Release
//     costs capacity for a limited time only.
//
// No guarantee to callers depends on this state. It is empty on a new owner, which takes over
// grants with Adopt. During a change of owners, two owners can grant too much work at once for a
// few seconds, which the engine queues itself.
//
// An Engine does no I/O and reads no clock. It is not safe for concurrent use. After any call that
// changes it, the owner calls Tick, and again at NextTick.
package enginestate
