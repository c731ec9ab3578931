// Package operator serves the operators' RPCs on a separate listener.
//
// Guarantee: a write is reported as accepted only after it was appended to the
// log and applied at this node; a retry with the same change id returns the
// outcome of the first attempt. Every error carries a result code. One port
// serves Connect, gRPC, gRPC-Web and plain JSON over HTTP; every call requires
// the operators' credential.
package operator
