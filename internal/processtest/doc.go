// Package processtest holds tests that run deployments of real processes on loopback and stop, pause and replace them
// with real signals. The checks use the histories that the stand-in upstreams record, not what the system reports.
package processtest
