// Package changelog replicates a small state (configuration, claims) over an
// append-only log that the platform provides, without a consensus group of its
// own.
//
// The order of records in the log determines the state. All nodes that have
// applied the log up to an offset have the same state at that offset, whether
// they read the log, restored a checkpoint from the log or restored a peer's
// image. A change is reported as accepted only after its record was read back
// and applied. An accepted change is only replaced by a later accepted change.
// The applied offset of a node never decreases.
//
// A change names the revision of the object that it is based on. Of several
// changes based on the same revision exactly one is accepted. All nodes reject
// the others, and their proposers receive the current revision. A change carries
// an id, so a lost append response is harmless: proposing the same Change again
// returns the outcome of its first record.
//
// The package does not guarantee that a node is up to date. Follower.Status
// reports how long ago the log was last read by this node, or by a node whose
// notices reached this one directly or through others, and whether the state is
// stale.
package changelog
