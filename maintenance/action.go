package maintenance

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// ActionKind is the kind of an Action.
type ActionKind string

// The values of ActionKind.
const (
	Drain   ActionKind = "drain"  // make the upstream reject all reservations; call RecheckDrain right before it
	Undrain ActionKind = "open"   // make the upstream accept reservations of the assignment's epoch
	Reboot  ActionKind = "reboot" // request a reboot of the drained host from the platform
	Commit  ActionKind = "commit" // apply Change to the control record
)

// Action is the next step for a host. All actions are idempotent.
type Action struct {
	Kind   ActionKind
	Host   string
	Epoch  uint64
	Change Change
}

// purpose is the reason for which a host is drained.
type purpose int

const (
	purposeNone purpose = iota // the host need not be drained any more
	purposeMove
	purposeIntervention
	purposeMaintenance
)

// purposeOf derives the purpose of a drain from the assignment and the current bundle.
func (f *fleet) purposeOf(a control.Assignment) purpose {
	if _, ok := f.pools[a.MoveTo]; ok {
		return purposeMove
	}
	switch {
	case a.MoveTo != "":
		return purposeNone
	case f.drains[a.Host]:
		return purposeIntervention
	case f.isDue(a, maintenanceDuePercent):
		return purposeMaintenance
	}
	return purposeNone
}

// Actions returns the next step of each host that has one. It returns none if the record may be outdated or names
// another bundle. A host without a fresh observation gets only the steps that need none: marking it as stuck if it did
// not drain in time, and cancelling a drain that is no longer needed.
func Actions(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) []Action {
	if !isFresh(now, obs.RecordConfirmedAt) || b.Version != r.BundleVersion {
		return nil
	}
	f := newFleet(now, b, r, &obs)
	var actions []Action
	for _, v := range f.hosts {
		if action, ok := f.nextAction(v); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// nextAction returns the next step of a host, and whether there is one.
func (f *fleet) nextAction(v hostView) (Action, bool) {
	_, fresh := f.obs.freshObservation(f.now, v.host.ID)
	status, a := v.observation.Status, v.assignment
	isDrained := fresh && hasDrained(status, a)
	switch a.State {
	case control.InService:
		return Action{Kind: Undrain, Host: a.Host, Epoch: a.Epoch}, fresh && status.PoolEpoch < a.Epoch
	case control.Maintenance:
		if fresh && hasRebooted(v.observation, a) {
			return f.commitAction(EndMaintenance, a), true
		}
		return Action{Kind: Reboot, Host: a.Host, Epoch: a.Epoch}, isDrained
	}
	switch drainPurpose := f.purposeOf(a); {
	case drainPurpose == purposeNone:
		return f.commitAction(CancelDrain, a), true
	case isDrained && drainPurpose == purposeMove:
		return f.commitAction(CompleteMove, a), true
	case isDrained && drainPurpose == purposeMaintenance:
		return f.commitAction(BeginMaintenance, a), true
	case isDrained:
		return Action{}, false
	case a.State == control.Draining && f.isOverdue(a):
		return f.commitAction(MarkStuck, a), true
	}
	return Action{Kind: Drain, Host: a.Host, Epoch: a.Epoch}, fresh && !isDraining(status, a)
}

func (f *fleet) commitAction(kind ChangeKind, a control.Assignment) Action {
	change := Change{Kind: kind, Host: a.Host, Epoch: a.Epoch, AtUnixMS: f.now.UnixMilli()}
	return Action{Kind: Commit, Host: a.Host, Epoch: a.Epoch, Change: change}
}

// isOverdue reports whether a host has been draining for longer than its pool's drain limit.
func (f *fleet) isOverdue(a control.Assignment) bool {
	return f.now.UnixMilli()-a.SinceUnixMS > f.pools[a.Pool].DrainMS
}

// isDraining reports whether the upstream is draining at the assignment's epoch or a later one.
func isDraining(s upstream.Status, a control.Assignment) bool {
	return s.Draining && s.PoolEpoch >= a.Epoch
}

// hasDrained reports whether the upstream is draining and has neither running tasks nor reservations, which could
// still start tasks.
func hasDrained(s upstream.Status, a control.Assignment) bool {
	return isDraining(s, a) && isIdle(s)
}

// hasRebooted reports whether the host was started after its maintenance began. This compares the clocks of the entry
// host that decided the change and of the observer; at worst, clock skew leads to another reboot.
func hasRebooted(observation HostObservation, a control.Assignment) bool {
	return observation.At.Add(-observation.Status.Uptime).UnixMilli() > a.SinceUnixMS
}

// RecheckDrain reports, from new observations, whether the drain of a host may be sent. It is called right before
// sending the drain. If the budget no longer allows the drain, or the observations are outdated, it returns the change
// that cancels it. The change has no kind if the host is not to be drained or the record names another bundle.
func RecheckDrain(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations, host string) (Change, bool) {
	if b.Version != r.BundleVersion {
		return Change{}, false
	}
	f := newFleet(now, b, r, &obs)
	for _, v := range f.hosts {
		a := v.assignment
		if a.Host != host || a.State != control.Draining && a.State != control.Stuck {
			continue
		}
		if obs.isCurrent(now) && f.budgetCounts.allows(a.Pool, v.host) {
			return Change{}, true
		}
		return f.commitAction(CancelDrain, a).Change, false
	}
	return Change{}, false
}

// Perform carries out an action other than Commit. A Drain must have been allowed by RecheckDrain. It is not an error
// if the upstream rejects the action because of its stale epoch, or the platform because the host is not drained: a
// later change has superseded the action.
func Perform(ctx context.Context, a Action, client upstream.Client, hosts platform.HostList) error {
	var err error
	switch a.Kind {
	case Drain:
		err = client.Drain(ctx, a.Epoch, true)
	case Undrain:
		err = client.Drain(ctx, a.Epoch, false)
	case Reboot:
		err = hosts.Reboot(ctx, a.Host)
	default:
		return errors.Errorf("action %q cannot be performed on a host", a.Kind)
	}
	if err == nil || errors.Is(err, upstream.ErrStaleEpoch) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrapf(err, "%s %s", a.Kind, a.Host)
}
