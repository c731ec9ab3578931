// Package quarantine tells which requests end the endpoints that run them.
package quarantine
