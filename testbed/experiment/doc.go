// Package experiment measures how well the system meets the targets of docs/design.md, section 1.3: the deviation of
// the teams from their shares, the work done while an availability zone leaves and returns, rollout time, host moves
// and idle reserve capacity.
//
// Each experiment drives the production decision code of one package with a fake clock and small fakes of everything
// around it, and compares the results with a baseline and with a theoretical bound. The experiments do not simulate
// the whole fleet: what the measured package does not decide is left out or is a constant. All random choices that an
// experiment makes itself follow from its seed. Runs of the share and zone experiments with the same seed still differ
// slightly, since admission.Scheduler rounds with a hash that has a random seed.
package experiment
