// Package faulttest holds the stateful fault tests of the scheduling core. They run the production state machines
// against a simulated network, platform and fleet under a virtual clock, and check every step against the
// invariants of docs/design.md. The package has no code outside its tests.
package faulttest
