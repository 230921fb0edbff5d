package daemon

import (
	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/intake"
)

// Names of the listeners in metrics and logs.
const (
	callersListener = "callers"
	peersListener   = "peers"
)

var (
	_ intake.Observer = (*Daemon)(nil)
	_ api.KeyChecker  = (*Daemon)(nil)
)

// intakeLimits returns the bounds of the listeners for callers and for other hosts. The budget for bodies always has room for one of
// the largest size, also if its length is unknown.
func (s *Settings) intakeLimits() (callers, peers intake.Limits) {
	limits := intake.Derive(s.MemoryMB, s.MaxFDs)
	return limits.Clients.WithBody(s.MaxRequestBytes), limits.Internal
}

// Shed implements intake.Observer.
func (d *Daemon) Shed(listener, reason string, held intake.Held) {
	d.metrics.intakeShed.WithLabelValues(listener, reason).Inc()
	d.intakeLog.Do(listener, reason, func() {
		d.log.Warn("intake shed", "component", "daemon", "listener", listener, "reason", reason, "connections", held.Connections,
			"known_connections", held.KnownConnections, "bytes", held.Bytes)
	})
}

// IsKnownKey implements api.KeyChecker.
func (d *Daemon) IsKnownKey(key string) bool {
	inc := d.inc.Load()
	if inc == nil || key == "" {
		return false
	}
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return false
	}
	_, entry := s.index.Key(key)
	return entry != nil && !entry.Withdrawn
}
