// Package origin knows which release of the endpoints' software began each stream, so that a caller who
// takes a stream up at any node, in a later request, is served by endpoints of that release only.
//
// The node that delivers the first event of a stream records its origin and sends the record to the
// stream's homes before the caller gets the event: to all nodes of a small system, and to three nodes in
// different failure domains of a large one. A node that is asked to resume a stream it has no record of
// asks the homes. A node that starts copies the records of which it is a home, so that they outlast
// restarts of all nodes in turn.
//
// Where no record is found, a stream is resumed only if no more than one release can have begun it: nodes
// whose view of the registry is current and goes back far enough have seen a single release of the service.
// For nodes that have all started again, the platform's store has a record of each release that serves, or
// that began streams which can still be resumed; a few nodes write it once they see an endpoint of the
// release, and remove it when its last streams have ended.
//
// Guarantees:
//
//   - A stream is bound to the release of the event that its caller got first. Records of one request that
//     differ count as no record.
//   - A caller reaches the records of its own client account only.
//   - Records are lost if all homes of a stream fail. The stream is then refused, never resumed at a
//     release that may not have begun it, unless a new release came up within the age of the view that
//     decides (MaxViewAge), or began streams and left before it could be recorded.
//   - The number of records is bounded; beyond the bound, the oldest are dropped.
package origin
