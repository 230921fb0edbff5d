// Package experiment measures what docs/design.md, section 1.3, asks for: how close each team is to its share, the
// work done while an availability zone leaves and returns, roll-out time, host moves and buffer cost.
//
// Each experiment drives the real decision core that it measures with a fake clock and small fakes of everything
// around it, and compares it with a baseline and with a bound. The experiments are not a simulator of the fleet: what
// a core does not decide is left out or is a constant. All random choices of an experiment follow from its seed.
package experiment
