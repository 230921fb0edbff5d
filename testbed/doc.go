// Package testbed is the parent of the packages for tests and measurements.
//
// Package standin has stand-ins for the platform and the upstreams of the daemon in package daemon. Package fleet has
// those for entry hosts on the users' platform (package entry), whose protocols differ. Package capacity measures
// running daemons under generated load, and package experiment measures the decision logic with a simulated clock.
package testbed
