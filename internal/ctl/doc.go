// Package ctl implements cherryctl, the operators' command-line tool.
//
// Guarantee: a command exits with 0 only if it succeeded completely, with 2 if its
// input was not valid, and with 1 otherwise. A write has the same change id at all
// servers that are tried, so it is never applied twice.
package ctl
