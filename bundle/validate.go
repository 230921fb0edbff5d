package bundle

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// Limits of values.
const (
	maxTextLength    = 1000
	maxMillis        = int64(24 * time.Hour / time.Millisecond)
	maxRampMS        = int64(time.Hour / time.Millisecond)
	maxCount         = 1_000_000
	maxMemoryMB      = 1 << 30
	maxMaintainHours = 24 * 365
	totalShares      = 1000
	minDrainMS       = 1000
)

// namePattern is the form of names and IDs. It leaves out what has a meaning in URLs, paths of fields and store
// keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// validator checks a decoded bundle.
type validator struct {
	bundle *Bundle
	*reporter
	// broken holds the paths that could not be decoded. They are not reported again.
	broken map[string]bool

	zones, hosts, pools, teams names
}

// names is the set of names of one kind with the paths of their definition.
type names struct {
	paths map[string]string
	// incomplete: a definition could not be read, so that a reference to an unknown name proves nothing.
	incomplete bool
}

func (v *validator) run() {
	v.collectNames()
	v.checkHeader()
	v.checkZones()
	v.checkHosts()
	v.checkPools()
	v.checkQueues()
	v.checkTeams()
	v.checkInterventions()
}

// fail reports a problem unless the path or one of its parents could not be decoded.
func (v *validator) fail(code result.Code, path, format string, args ...any) {
	if !v.isBroken(path) {
		v.add(code, path, format, args...)
	}
}

func (v *validator) isBroken(path string) bool {
	if len(v.broken) == 0 {
		return false
	}
	for path != "" {
		if v.broken[path] {
			return true
		}
		path = parentPath(path)
	}
	return v.broken[""]
}

func (v *validator) collectNames() {
	b := v.bundle
	v.zones = collect(v, "availability_zones", "name", b.Zones, func(z Zone) string { return z.Name })
	v.hosts = collect(v, "hosts", "id", b.Hosts, func(h Host) string { return h.ID })
	v.pools = collect(v, "pools", "name", b.Pools, func(p Pool) string { return p.Name })
	v.teams = collect(v, "teams", "name", b.Teams, func(t Team) string { return t.Name })
	collect(v, "queues", "name", b.Queues, func(q Queue) string { return q.Name })
	collect(v, "interventions", "id", b.Interventions, func(n Intervention) string { return n.ID })
}

// collect checks the form and uniqueness of the names in a list.
func collect[T any](v *validator, list, field string, items []T, nameOf func(T) string) names {
	set := names{paths: map[string]string{}, incomplete: v.isBroken(list)}
	for i, item := range items {
		path := fmt.Sprintf("%s[%d].%s", list, i, field)
		name := nameOf(item)
		if v.isBroken(path) {
			set.incomplete = true
			continue
		}
		v.checkName(path, name)
		v.unique(set.paths, result.BundleDuplicateName, path, name)
	}
	return set
}

// unique reports a value that was seen before.
func (v *validator) unique(seen map[string]string, code result.Code, path, value string) {
	if v.isBroken(path) {
		return
	}
	if first, ok := seen[value]; ok {
		v.fail(code, path, "%s is also given at %s, line %d", quote(value), first, v.lineOf(first))
		return
	}
	seen[value] = path
}

// refer reports a name that is not defined.
func (v *validator) refer(set names, kind, path, name string) {
	if _, ok := set.paths[name]; ok || set.incomplete {
		return
	}
	v.fail(result.BundleUnknownName, path, "no %s has the name %s", kind, quote(name))
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.fail(result.BundleBadValue, path, "%s; names have letters, digits, '.', '_' and '-', at most 64", quote(name))
	}
}

// checkText checks free text. Control characters could alter an operator's terminal.
func (v *validator) checkText(path, text string) {
	if len(text) > maxTextLength {
		v.fail(result.BundleBadValue, path, "%d bytes, at most %d are allowed", len(text), maxTextLength)
	}
	if strings.ContainsFunc(text, unicode.IsControl) {
		v.fail(result.BundleBadValue, path, "contains control characters")
	}
}

func (v *validator) checkRange(path string, value, least, most int64) {
	if value < least || value > most {
		v.fail(result.BundleBadLimit, path, "%d is not from %d to %d", value, least, most)
	}
}

func (v *validator) checkWork(path string, work RunningWork) {
	switch work {
	case WorkFinish, WorkCheckpoint, WorkStop:
	default:
		v.fail(result.BundleBadValue, path, "%s; want %q, %q or %q", quote(string(work)), WorkFinish, WorkCheckpoint, WorkStop)
	}
}

func (v *validator) checkNotEmpty(path string, length int) {
	if length == 0 {
		v.fail(result.BundleMissing, path, "at least one is needed")
	}
}

func (v *validator) checkHeader() {
	b := v.bundle
	if b.Version == 0 {
		v.fail(result.BundleBadLimit, "version", "versions start at 1")
	}
	if b.Base >= b.Version && b.Version > 0 && !v.isBroken("version") {
		v.fail(result.BundleBadLimit, "base", "base %d is not below version %d", b.Base, b.Version)
	}
	v.checkText("author", b.Author)
	v.checkText("reason", b.Reason)
	v.checkRange("isolation.serve_for_ms", b.Isolation.ServeForMS, 0, maxMillis)
}

func (v *validator) checkZones() {
	v.checkNotEmpty("availability_zones", len(v.bundle.Zones))
	for i, zone := range v.bundle.Zones {
		path := fmt.Sprintf("availability_zones[%d].", i)
		if zone.Region != "" {
			v.checkName(path+"region", zone.Region)
		}
		v.checkWork(path+"running_work", zone.RunningWork)
		v.checkRange(path+"ramp_ms", zone.RampMS, 0, maxRampMS)
	}
}

func (v *validator) checkHosts() {
	v.checkNotEmpty("hosts", len(v.bundle.Hosts))
	addresses := map[string]string{}
	for i, host := range v.bundle.Hosts {
		path := fmt.Sprintf("hosts[%d].", i)
		v.checkAddress(path+"address", host.Address)
		v.unique(addresses, result.BundleDuplicateName, path+"address", host.Address)
		v.refer(v.zones, "availability zone", path+"zone", host.Zone)
		v.checkName(path+"rack", host.Rack)
		v.checkSize(path+"capacity.", host.Capacity)
		v.checkRange(path+"connections", int64(host.Connections), 1, maxCount)
	}
}

func (v *validator) checkSize(path string, size upstream.Size) {
	v.checkRange(path+"slots", int64(size.Slots), 1, maxCount)
	v.checkRange(path+"cpus", int64(size.CPUs), 0, maxCount)
	v.checkRange(path+"memory_mb", int64(size.MemoryMB), 0, maxMemoryMB)
	v.checkRange(path+"accelerators", int64(size.Accelerators), 0, maxCount)
}

// checkAddress accepts IP:port in its usual form only: names would need DNS, and a second spelling of an address
// would hide a duplicate.
func (v *validator) checkAddress(path, text string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		v.fail(result.BundleBadValue, path, "%s is not IP:port", quote(text))
	case address.Port() == 0:
		v.fail(result.BundleBadValue, path, "port 0")
	case address.Addr().Zone() != "" || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		v.fail(result.BundleBadValue, path, "%s is not the address of a host", quote(text))
	case address.String() != text || address.Addr().Is4In6():
		v.fail(result.BundleBadValue, path, "%s; write it as %s", quote(text), netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

func (v *validator) checkTeams() {
	sum, complete := 0, !v.isBroken("teams")
	ids, hashes := map[string]string{}, map[string]string{}
	for i, team := range v.bundle.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		v.checkRange(path+"share_permille", int64(team.Share), 0, totalShares)
		v.checkRange(path+"cap_slots", int64(team.Cap), 0, maxCount)
		v.checkWork(path+"running_work", team.RunningWork)
		for k, key := range team.Keys {
			v.checkKey(fmt.Sprintf("%skeys[%d].", path, k), key, ids, hashes)
		}
		sum += team.Share
		complete = complete && !v.isBroken(path+"share_permille")
	}
	if complete && sum != totalShares {
		v.fail(result.BundleSharesInvalid, "teams", "the shares add up to %d permille, want %d", sum, totalShares)
	}
}

func (v *validator) checkKey(path string, key Key, ids, hashes map[string]string) {
	v.checkName(path+"id", key.ID)
	v.unique(ids, result.BundleKeyRepeated, path+"id", key.ID)
	decoded, err := hex.DecodeString(key.SHA256)
	if err != nil || len(decoded) != keyBytes || hex.EncodeToString(decoded) != key.SHA256 {
		v.fail(result.BundleBadValue, path+"sha256", "want 64 lower-case hex digits")
	}
	v.unique(hashes, result.BundleKeyRepeated, path+"sha256", key.SHA256)
	v.checkWork(path+"running_work", key.RunningWork)
}

func (v *validator) checkInterventions() {
	for i, n := range v.bundle.Interventions {
		path := fmt.Sprintf("interventions[%d].", i)
		switch n.Kind {
		case InterventionDrain:
			v.refer(v.hosts, "host", path+"target", n.Target)
		case InterventionHold:
			v.refer(v.pools, "pool", path+"target", n.Target)
		default:
			v.fail(result.BundleBadValue, path+"kind", "%s; want %q or %q", quote(string(n.Kind)), InterventionDrain, InterventionHold)
		}
		v.checkText(path+"author", n.Author)
		v.checkText(path+"reason", n.Reason)
		if _, err := time.Parse(time.RFC3339, n.Until); err != nil {
			v.fail(result.BundleBadValue, path+"until", "%s is not an RFC 3339 time", quote(n.Until))
		}
	}
}
