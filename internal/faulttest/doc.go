// Package faulttest contains deterministic fault-injection tests of the scheduling core. The tests run the production
// coordinator, agent ledger and job store against a simulated network, platform and set of upstreams under a virtual
// clock, and check the invariants of docs/design.md throughout. The package has no code outside its tests.
package faulttest
