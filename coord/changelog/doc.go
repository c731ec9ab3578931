// Package changelog replicates a small state (configuration, claims) over an
// append-only log that the platform provides, without a consensus group of its
// own.
//
// The order of records in the log determines the state. All nodes that have
// applied the log up to an offset have the same state at that offset, whether
// they read the log, restored a checkpoint from the log or restored a peer's
// image. A change is reported as accepted only after its record was read back
// and applied. An accepted change is only replaced by a later accepted change.
// The applied offset of a node does not decrease while the node runs.
//
// A change contains the revision of the object that it is based on, and at most
// one of the changes based on the same revision is accepted. All nodes reject the
// others, and their proposers receive the current revision. Revision 0 stands for
// an object that does not exist, so after a delete another change based on
// revision 0 can be accepted.
//
// A change carries an id, so a lost append response is harmless: proposing the
// same Change again returns the outcome of its first record.
//
// The package does not guarantee that a node is up to date. Follower.Status
// reports the time since the last read of the log by this node, or by another node
// whose notices reached this one directly or relayed, and whether the state is
// stale.
package changelog
