// Package testbed is the parent of the packages for tests and measurements: stand-ins for the platform and for
// upstreams, capacity measurements with a load generator, and experiments.
package testbed
