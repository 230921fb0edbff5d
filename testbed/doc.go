// Package testbed is the parent of the packages for tests and measurements: stand-ins for the platform and for
// upstreams, a fleet of a store and upstreams on loopback, capacity measurements with a load generator, and
// experiments.
package testbed
