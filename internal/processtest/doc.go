// Package processtest holds tests that run deployments of real processes on loopback and kill, pause and replace
// them with signals. The checks compare the outcomes that callers get with the starts and stops that the stand-in
// upstreams record, not with what the system reports about itself.
package processtest
