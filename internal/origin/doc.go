// Package origin knows which release of the endpoints' software began each stream, so that a caller who
// takes a stream up at any node, in a later request, is served by endpoints of that release only.
//
// The node that delivers the first event of a stream records its origin and sends the record to the
// stream's homes before the caller gets the event: to all nodes of a small system, and to three nodes in
// different failure domains of a large one. A node that is asked to resume a stream it has no record of
// asks the homes. A node that starts copies the records of which it is a home, so that they outlast
// restarts of all nodes in turn.
//
// Where no record is found, a stream is resumed only if no more than one release can have begun it. The platform's
// store has a record of each release that serves, or that began streams which can still be resumed. It is written before
// the first stream begins at the release, and removed when the last ones have ended. So a read of these records that is
// sent after a caller's request arrived names the release that began its stream, whichever nodes were there. While
// several releases have a record, nodes write the origins of the streams that they began to a log in the store, for the
// case that all homes are lost.
//
// Guarantees:
//
//   - A stream is bound to the release of the event that its caller got first. Records of one request that
//     differ count as no record.
//   - A caller reaches the records of its own client account only.
//   - Records are lost if all homes of a stream fail. The stream is then refused unless one release alone has a
//     record in the store, or the log has the stream. What a node saw before the request, or did not see, proves nothing.
//   - The number of records is bounded; beyond the bound, the oldest are dropped.
package origin
