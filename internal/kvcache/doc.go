// Package kvcache decides which KV cache blocks to reuse, export to store hosts,
// import from them and evict.
//
// Guarantee: an import plan never contains a block that was freed, is incomplete,
// or belongs to another client account, model, weight version, adapter or KV
// layout. This relies on write-once block names, on manifests that are published
// only after their block was verified, on a grace period between deleting a
// manifest and its block, and on checks of each import plan. It does not require
// that a store host or an engine has a single owner: two owners at the same time
// only reduce efficiency.
//
// The indexes hold estimates of remote state, which may be out of date, and are
// safe for concurrent use. The policies do no I/O. Callers pass in the time; I/O
// goes through the interfaces Store and Engine.
package kvcache
