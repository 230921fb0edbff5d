// Package bundle defines the operators' versioned bundle: availability zones, hosts, pools, queues, teams, keys,
// shares, caps and budgets. It parses a bundle strictly, validates it, signs it and compares two of them.
//
// A bundle is immutable once signed. The entry hosts read it only through Parse and VerifySigned, the same code that the
// operators' tool uses to check it.
package bundle

import (
	"citrongauge.example/citrongauge/upstream"
)

// Bundle is the operators' configuration. Field names are those of the JSON text.
type Bundle struct {
	// Version rises with every roll-out.
	Version uint64 `json:"version"`
	// Base is the version that this bundle was edited from; a roll-out from another base is a conflict.
	Base          uint64         `json:"base"`
	Author        string         `json:"author"`
	Reason        string         `json:"reason"`
	Isolation     Isolation      `json:"isolation"`
	Zones         []Zone         `json:"availability_zones"`
	Hosts         []Host         `json:"hosts"`
	Pools         []Pool         `json:"pools"`
	Queues        []Queue        `json:"queues"`
	Teams         []Team         `json:"teams"`
	Interventions []Intervention `json:"interventions,omitempty"`
}

// Isolation says what an availability zone does that is cut off from the store and from the other zones.
type Isolation struct {
	// ServeForMS is how long such a zone goes on starting work, in milliseconds. A roll-out may have to wait
	// this long until it is accepted.
	ServeForMS int64 `json:"serve_for_ms"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	// OutOfService: no task starts on hosts of this zone.
	OutOfService bool `json:"out_of_service,omitempty"`
	// RunningWork says what becomes of running work when the zone is taken out; WorkFinish by default.
	RunningWork RunningWork `json:"running_work,omitempty"`
	// RampMS is the time over which a returning zone takes up its full load, in milliseconds. An explicit 0 differs
	// from the default, so the canonical form always has the field.
	RampMS int64 `json:"ramp_ms"`
}

// RunningWork says what becomes of running work when its zone is taken out, its key is withdrawn or its team's
// cap is lowered below what runs.
type RunningWork string

// The values of RunningWork.
const (
	WorkFinish     RunningWork = "finish"
	WorkCheckpoint RunningWork = "checkpoint"
	WorkStop       RunningWork = "stop"
)

// Host is an upstream host.
type Host struct {
	ID string `json:"id"`
	// Address is IP:port of the upstream.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Capacity is the size of the host; Connections is the number of connections that it accepts.
	Capacity    upstream.Size `json:"capacity"`
	Connections int           `json:"connections"`
}

// Pool is a set of hosts. A host is in exactly one pool.
type Pool struct {
	Name  string   `json:"name"`
	Hosts []string `json:"hosts"`
	// Spare marks the pool from which hosts are lent to others.
	Spare  bool   `json:"spare,omitempty"`
	Budget Budget `json:"budget"`
	// DrainMS is the longest time that a host of this pool may take to drain, in milliseconds.
	DrainMS int64 `json:"drain_ms"`
	// MaintainEveryHours is the interval of planned maintenance of each host, 0 for none.
	MaintainEveryHours int `json:"maintain_every_hours,omitempty"`
}

// Budget is an availability budget: how many hosts may be unavailable at once, for any reason, when the system
// stops one more.
type Budget struct {
	MaxUnavailable        int `json:"max_unavailable"`
	MaxUnavailablePerRack int `json:"max_unavailable_per_rack,omitempty"` // 0: no limit of its own
	MaxUnavailablePerZone int `json:"max_unavailable_per_zone,omitempty"` // 0: no limit of its own
}

// Queue takes requests for one pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open queues need no key. Their tasks run for the team OpenTeam.
	Open     bool   `json:"open,omitempty"`
	OpenTeam string `json:"open_team,omitempty"`
	// Teams that may use the queue; empty for all teams.
	Teams []string `json:"teams,omitempty"`
	// MaxQueued is the number of waiting requests for each team and entry host.
	MaxQueued int `json:"max_queued"`
	// MaxDeadlineMS is the longest deadline that a caller may ask for, in milliseconds.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
}

// Team has keys, a share and a cap.
type Team struct {
	Name string `json:"name"`
	// Share is the team's part of a full fleet in permille. The shares of all teams add up to 1000.
	Share int `json:"share_permille"`
	// Cap is the number of slots that the team may have in use, fleet-wide.
	Cap  int   `json:"cap_slots"`
	Keys []Key `json:"keys"`
	// RunningWork says what becomes of running work above a lowered cap; WorkFinish by default.
	RunningWork RunningWork `json:"running_work,omitempty"`
}

// Key is a team key. Only its hash is kept.
type Key struct {
	ID string `json:"id"`
	// SHA256 is the hash of the key in lower-case hex. Keys are 32 random bytes, so that no salt is needed.
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// RunningWork says what becomes of running work when the key is withdrawn; WorkFinish by default.
	RunningWork RunningWork `json:"running_work,omitempty"`
}

// InterventionKind is the kind of an operator's intervention.
type InterventionKind string

// The values of InterventionKind.
const (
	InterventionDrain InterventionKind = "drain" // take a host out of service
	InterventionHold  InterventionKind = "hold"  // plan no maintenance for a pool
)

// Intervention is an operator's override with an end. It takes no effect after Until.
type Intervention struct {
	ID     string           `json:"id"`
	Kind   InterventionKind `json:"kind"`
	Target string           `json:"target"` // host ID or pool name
	Author string           `json:"author"`
	Reason string           `json:"reason"`
	// Until is the end as RFC 3339 time.
	Until string `json:"until"`
}
