// Package bundle defines the bundle, the versioned configuration of the fleet: availability zones, hosts, pools,
// queues, teams, keys, shares, caps and budgets. The package parses, validates, signs, verifies and compares bundles.
// Parsing is strict.
//
// A bundle is immutable once signed. The entry hosts read it only through Parse and VerifySigned, the same code that
// the operators' command-line tool uses to check it.
package bundle

import (
	"citrongauge.example/citrongauge/upstream"
)

// Bundle is the fleet configuration that operators write. The struct tags give the field names in the JSON text.
type Bundle struct {
	// Version increases with every rollout.
	Version uint64 `json:"version"`
	// Base is the version that this bundle was edited from. If another version is current, the rollout is a conflict.
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

// Isolation configures an availability zone that is partitioned from the store and from the other zones.
type Isolation struct {
	// ServeForMS is how long such a zone continues to start work, in milliseconds. The acceptance of a rollout may be
	// delayed by this time.
	ServeForMS int64 `json:"serve_for_ms"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	// OutOfService prevents tasks from starting on hosts in this zone.
	OutOfService bool `json:"out_of_service,omitempty"`
	// RunningWork applies to running work when the zone is taken out of service. The default is WorkFinish.
	RunningWork RunningWorkPolicy `json:"running_work,omitempty"`
	// RampMS is the time, in milliseconds, over which the load of a zone that returns to service increases to its full
	// share. It has no omitempty because an explicit 0 differs from the default, so the canonical form must contain it.
	RampMS int64 `json:"ramp_ms"`
}

// RunningWorkPolicy is the policy for running work when its zone is taken out of service, its key is withdrawn, or its
// team's cap is lowered below the slots in use.
type RunningWorkPolicy string

// The values of RunningWorkPolicy.
const (
	WorkFinish     RunningWorkPolicy = "finish"
	WorkCheckpoint RunningWorkPolicy = "checkpoint"
	WorkStop       RunningWorkPolicy = "stop"
)

// Host is a machine that runs an upstream.
type Host struct {
	ID string `json:"id"`
	// Address is the IP:port of the upstream.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Capacity is the total size of the host. Connections is the maximum number of connections that it accepts.
	Capacity    upstream.Size `json:"capacity"`
	Connections int           `json:"connections"`
}

// Pool is a set of hosts. Each host belongs to exactly one pool.
type Pool struct {
	Name  string   `json:"name"`
	Hosts []string `json:"hosts"`
	// Spare marks the spare pool, which lends hosts to other pools.
	Spare  bool   `json:"spare,omitempty"`
	Budget Budget `json:"budget"`
	// DrainMS is the maximum time for draining a host of this pool, in milliseconds.
	DrainMS int64 `json:"drain_ms"`
	// MaintainEveryHours is the interval of planned maintenance for each host; 0 disables it.
	MaintainEveryHours int `json:"maintain_every_hours,omitempty"`
}

// Budget is an availability budget: the maximum number of hosts that may be unavailable at the same time, for any
// reason. The system begins the drain of a host only if the limits also hold with that host counted.
type Budget struct {
	MaxUnavailable        int `json:"max_unavailable"`
	MaxUnavailablePerRack int `json:"max_unavailable_per_rack,omitempty"` // 0: no limit per rack
	MaxUnavailablePerZone int `json:"max_unavailable_per_zone,omitempty"` // 0: no limit per zone
}

// Queue accepts requests for one pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open queues require no team key. Their tasks count against the team OpenTeam.
	Open     bool   `json:"open,omitempty"`
	OpenTeam string `json:"open_team,omitempty"`
	// Teams lists the teams that may use the queue. If it is empty, all teams may.
	Teams []string `json:"teams,omitempty"`
	// MaxQueued is the maximum number of waiting requests per team on each entry host.
	MaxQueued int `json:"max_queued"`
	// MaxDeadlineMS is the longest deadline that a caller may request, in milliseconds.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
}

// Team is a tenant of the fleet, with its keys, share and cap.
type Team struct {
	Name string `json:"name"`
	// Share is the part of the fleet, in permille, that the team gets when the fleet is full. The shares of all teams
	// add up to 1000.
	Share int `json:"share_permille"`
	// Cap is the maximum number of slots that the team may use across the fleet.
	Cap  int   `json:"cap_slots"`
	Keys []Key `json:"keys"`
	// RunningWork applies to running work above a lowered cap. The default is WorkFinish.
	RunningWork RunningWorkPolicy `json:"running_work,omitempty"`
}

// Key is a team key. Only its hash is stored.
type Key struct {
	ID string `json:"id"`
	// SHA256 is the hash of the key in lower-case hex. It needs no salt because keys are 32 random bytes.
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// RunningWork applies to running work when the key is withdrawn. The default is WorkFinish.
	RunningWork RunningWorkPolicy `json:"running_work,omitempty"`
}

// InterventionKind is the kind of an operator's intervention.
type InterventionKind string

// The values of InterventionKind.
const (
	InterventionDrain InterventionKind = "drain" // take a host out of service
	InterventionHold  InterventionKind = "hold"  // plan no maintenance for a pool
)

// Intervention is a temporary override by an operator. It has no effect after Until.
type Intervention struct {
	ID     string           `json:"id"`
	Kind   InterventionKind `json:"kind"`
	Target string           `json:"target"` // host ID or pool name
	Author string           `json:"author"`
	Reason string           `json:"reason"`
	// Until is the expiry time in RFC 3339 format.
	Until string `json:"until"`
}
