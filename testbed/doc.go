// Package testbed holds what the tests and measurements need: stand-ins for the platform and for upstreams, a load
// generator and experiments.
package testbed
