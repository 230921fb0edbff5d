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
	Drain  ActionKind = "drain"  // make the upstream refuse all reservations; needs Recheck right before
	Open   ActionKind = "open"   // make the upstream take reservations of the assignment's epoch
	Reboot ActionKind = "reboot" // have the platform reboot the drained host
	Commit ActionKind = "commit" // apply Change to the control record
)

// Action is the next step for a host. All actions may be repeated.
type Action struct {
	Kind   ActionKind
	Host   string
	Epoch  uint64
	Change Change
}

// purpose is what a host is drained for.
type purpose int

const (
	forNothing purpose = iota // no longer wanted
	forMove
	forIntervention
	forMaintenance
)

// purposeOf derives the purpose from the record and the present bundle.
func (f *fleet) purposeOf(a control.Assignment) purpose {
	if _, ok := f.pools[a.MoveTo]; ok {
		return forMove
	}
	switch {
	case a.MoveTo != "":
		return forNothing
	case f.drains[a.Host]:
		return forIntervention
	case f.isDue(a, duePercent):
		return forMaintenance
	}
	return forNothing
}

// Actions returns the next step of each host that has one. Nothing is done on a record that may be outdated or with
// another bundle than the record's, nor without a fresh observation of the host, except that a host that did not
// drain in time is marked stuck.
func Actions(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) []Action {
	if !isFresh(now, obs.RecordAt) || b.Version != r.BundleVersion {
		return nil
	}
	f := assess(now, b, r, &obs)
	var actions []Action
	for _, v := range f.hosts {
		if action, ok := f.next(v); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// next returns the next step of a host.
func (f *fleet) next(v hostView) (Action, bool) {
	_, fresh := f.obs.fresh(f.now, v.host.ID)
	status, a := v.seen.Status, v.assignment
	isDrained := fresh && hasDrained(status, a)
	switch a.State {
	case control.InService:
		return Action{Kind: Open, Host: a.Host, Epoch: a.Epoch}, fresh && status.PoolEpoch < a.Epoch
	case control.Maintenance:
		if fresh && hasRebooted(v.seen, a) {
			return f.commit(Return, a), true
		}
		return Action{Kind: Reboot, Host: a.Host, Epoch: a.Epoch}, isDrained
	}
	switch want := f.purposeOf(a); {
	case want == forNothing:
		return f.commit(Withdraw, a), true
	case isDrained && want == forMove:
		return f.commit(Move, a), true
	case isDrained && want == forMaintenance:
		return f.commit(Service, a), true
	case isDrained:
		return Action{}, false
	case a.State == control.Draining && f.isOverdue(a):
		return f.commit(GiveUp, a), true
	}
	return Action{Kind: Drain, Host: a.Host, Epoch: a.Epoch}, fresh && !isStopped(status, a)
}

func (f *fleet) commit(kind ChangeKind, a control.Assignment) Action {
	change := Change{Kind: kind, Host: a.Host, Epoch: a.Epoch, AtUnixMS: f.now.UnixMilli()}
	return Action{Kind: Commit, Host: a.Host, Epoch: a.Epoch, Change: change}
}

// isOverdue reports whether a host had more than its time to drain.
func (f *fleet) isOverdue(a control.Assignment) bool {
	return f.now.UnixMilli()-a.SinceUnixMS > f.pools[a.Pool].DrainMS
}

// isStopped reports whether the drain of the assignment's epoch has taken effect.
func isStopped(s upstream.Status, a control.Assignment) bool {
	return s.Draining && s.PoolEpoch >= a.Epoch
}

// hasDrained reports whether the drain has taken effect and nothing runs or may still start.
func hasDrained(s upstream.Status, a control.Assignment) bool {
	return isStopped(s, a) && isIdle(s)
}

// hasRebooted reports whether the host was started after its maintenance began. The clocks of the writer and the
// observer are compared; a difference leads to another reboot at worst.
func hasRebooted(seen HostObservation, a control.Assignment) bool {
	return seen.At.Add(-seen.Status.Uptime).UnixMilli() > a.SinceUnixMS
}

// Recheck decides, with new observations, whether the drain of a host may be sent. It is called right before the
// drain. If the budget no longer allows it, or nothing is known, it returns the change that withdraws the stop; the
// change has no kind if the host is not being stopped or the bundle is not the record's.
func Recheck(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations, host string) (Change, bool) {
	if b.Version != r.BundleVersion {
		return Change{}, false
	}
	f := assess(now, b, r, &obs)
	for _, v := range f.hosts {
		a := v.assignment
		if a.Host != host || a.State != control.Draining && a.State != control.Stuck {
			continue
		}
		if obs.isCurrent(now) && f.ledger.allows(a.Pool, v.host) {
			return Change{}, true
		}
		return f.commit(Withdraw, a).Change, false
	}
	return Change{}, false
}

// Perform carries out an action other than Commit. Recheck must have allowed a Drain. An action that the upstream
// refuses because of a higher epoch, or the platform because the host is not drained, was overtaken by a later change
// and is no error.
func Perform(ctx context.Context, a Action, client upstream.Client, hosts platform.HostList) error {
	var err error
	switch a.Kind {
	case Drain:
		err = client.Drain(ctx, a.Epoch, true)
	case Open:
		err = client.Drain(ctx, a.Epoch, false)
	case Reboot:
		err = hosts.Reboot(ctx, a.Host)
	default:
		return errors.Errorf("action %q is not performed outside the record", a.Kind)
	}
	if err == nil || errors.Is(err, upstream.ErrStaleEpoch) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrapf(err, "%s %s", a.Kind, a.Host)
}
