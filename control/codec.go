package control

import (
	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/result"
)

// Limits on encoded records and heartbeats.
const (
	// MaxRecordBytes is the size of the largest value that the store accepts.
	MaxRecordBytes    = 1 << 20
	MaxHeartbeatBytes = 4 << 10
	// MaxZoneMembers limits the number of members of one zone. It is the number of bits in a Mask.
	MaxZoneMembers = 64
	// MaxZones limits the number of zones in a roster and of zone ages in a heartbeat.
	MaxZones = 64
	// MaxPastRosters limits the growth of the record while a zone is partitioned. Roster changes are deferred while
	// the list is full.
	MaxPastRosters = 512
	maxNameBytes   = 256
	maxElements    = 8192
	maxNesting     = 5
	maxFields      = 32
)

var (
	encoding = codec.EncMode()
	decoding = codec.DecMode(codec.Limits{MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxFields})
)

// EncodeRecord validates the record and returns its stored form. It fails if the record is invalid or too large.
func EncodeRecord(record Record) ([]byte, error) {
	if err := record.validate(); err != nil {
		return nil, err
	}
	data, err := encoding.Marshal(record)
	if err != nil {
		return nil, result.Errorf(result.PeerProtocol, "control record: %v", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, result.Errorf(result.PeerProtocol, "control record: %d bytes exceed %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord decodes and validates a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if len(data) > MaxRecordBytes {
		return Record{}, result.Errorf(result.PeerProtocol, "control record: %d bytes exceed %d", len(data), MaxRecordBytes)
	}
	if err := decoding.Unmarshal(data, &record); err != nil {
		return Record{}, result.Errorf(result.PeerProtocol, "control record: %v", err)
	}
	if err := record.validate(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// EncodeHeartbeat returns the wire form of a heartbeat.
func EncodeHeartbeat(heartbeat Heartbeat) ([]byte, error) {
	data, err := encoding.Marshal(heartbeat)
	if err != nil {
		return nil, result.Errorf(result.PeerProtocol, "heartbeat: %v", err)
	}
	return data, nil
}

// DecodeHeartbeat decodes a heartbeat from its wire form.
func DecodeHeartbeat(data []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if len(data) > MaxHeartbeatBytes {
		return Heartbeat{}, result.Errorf(result.PeerProtocol, "heartbeat: %d bytes exceed %d", len(data), MaxHeartbeatBytes)
	}
	if err := decoding.Unmarshal(data, &heartbeat); err != nil {
		return Heartbeat{}, result.Errorf(result.PeerProtocol, "heartbeat: %v", err)
	}
	if len(heartbeat.ZoneAges) > MaxZones {
		return Heartbeat{}, result.Errorf(result.PeerProtocol, "heartbeat: %d zones exceed %d", len(heartbeat.ZoneAges), MaxZones)
	}
	return heartbeat, nil
}

// validate checks the invariants that the rest of the package relies on.
func (r *Record) validate() error {
	if r.AcceptedVersion > r.BundleVersion {
		return result.Errorf(result.PeerProtocol, "control record: accepted version %d above version %d", r.AcceptedVersion, r.BundleVersion)
	}
	if r.SettledRevision > r.Revision {
		return result.Errorf(result.PeerProtocol, "control record: settled revision %d above revision %d", r.SettledRevision, r.Revision)
	}
	if r.MaxServeForMS < 0 || len(r.PastRosters) > MaxPastRosters {
		return result.Errorf(result.PeerProtocol, "control record: value out of range")
	}
	if err := r.validateMembers(); err != nil {
		return err
	}
	return r.validateAssignments()
}

func (r *Record) validateMembers() error {
	seen := make(map[string]bool, len(r.Roster)+len(r.Departed))
	zones := make(map[string]int)
	for i, m := range append(append([]Member(nil), r.Roster...), r.Departed...) {
		if m.ID == "" || m.Zone == "" || len(m.ID) > maxNameBytes || len(m.Zone) > maxNameBytes || seen[m.ID] {
			return result.Errorf(result.PeerProtocol, "control record: member %q is repeated or malformed", m.ID)
		}
		seen[m.ID] = true
		if i < len(r.Roster) {
			zones[m.Zone]++
		}
		if zones[m.Zone] > MaxZoneMembers || len(zones) > MaxZones {
			return result.Errorf(result.PeerProtocol, "control record: too many members or zones")
		}
	}
	return nil
}

func (r *Record) validateAssignments() error {
	seen := make(map[string]bool, len(r.Assignments))
	for i := range r.Assignments {
		host := r.Assignments[i].Host
		if host == "" || len(host) > maxNameBytes || seen[host] {
			return result.Errorf(result.PeerProtocol, "control record: assignment of %q is repeated or malformed", host)
		}
		seen[host] = true
	}
	return nil
}

// Mask is a set of members of one zone, indexed by their position in the zone's roster.
type Mask uint64

func (m Mask) has(i int) bool { return m&(1<<i) != 0 }
