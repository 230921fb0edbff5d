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

// Limits of field values.
const (
	maxFreeTextBytes            = 1000
	maxDurationMS               = int64(24 * time.Hour / time.Millisecond)
	maxRampMS                   = int64(time.Hour / time.Millisecond)
	maxCount                    = 1_000_000
	maxMemoryMB                 = 1 << 30
	maxMaintenanceIntervalHours = 24 * 365
	totalSharePermille          = 1000
	minDrainMS                  = 1000
)

// namePattern matches valid names and IDs. It excludes characters with a special meaning in URLs, field paths and store
// keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// validator validates a decoded bundle.
type validator struct {
	bundle *Bundle
	*reporter
	// failedPaths holds the paths that failed to decode. Their problems are not reported again.
	failedPaths map[string]bool

	zones, hosts, pools, teams nameSet
}

// nameSet is the set of the names or IDs of one kind of object, such as all pools.
type nameSet struct {
	// paths maps the names to the paths of their definitions.
	paths map[string]string
	// incomplete means that a definition failed to decode, so that a reference to an unknown name may be valid.
	incomplete bool
}

func (v *validator) run() {
	v.collectNames()
	v.checkTopLevelFields()
	v.checkZones()
	v.checkHosts()
	v.checkPools()
	v.checkQueues()
	v.checkTeams()
	v.checkInterventions()
}

// fail reports a problem unless the path or one of its ancestors failed to decode.
func (v *validator) fail(code result.Code, path, format string, args ...any) {
	if !v.failedToDecode(path) {
		v.add(code, path, format, args...)
	}
}

// failedToDecode reports whether the path or one of its ancestors failed to decode.
func (v *validator) failedToDecode(path string) bool {
	if len(v.failedPaths) == 0 {
		return false
	}
	for path != "" {
		if v.failedPaths[path] {
			return true
		}
		path = parentPath(path)
	}
	return v.failedPaths[""]
}

func (v *validator) collectNames() {
	b := v.bundle
	v.zones = collectNameSet(v, "availability_zones", "name", b.Zones, func(z Zone) string { return z.Name })
	v.hosts = collectNameSet(v, "hosts", "id", b.Hosts, func(h Host) string { return h.ID })
	v.pools = collectNameSet(v, "pools", "name", b.Pools, func(p Pool) string { return p.Name })
	v.teams = collectNameSet(v, "teams", "name", b.Teams, func(t Team) string { return t.Name })
	collectNameSet(v, "queues", "name", b.Queues, func(q Queue) string { return q.Name })
	collectNameSet(v, "interventions", "id", b.Interventions, func(n Intervention) string { return n.ID })
}

// collectNameSet returns the names in a list and checks that they are valid and unique.
func collectNameSet[T any](v *validator, list, field string, items []T, nameOf func(T) string) nameSet {
	set := nameSet{paths: map[string]string{}, incomplete: v.failedToDecode(list)}
	for i, item := range items {
		path := fmt.Sprintf("%s[%d].%s", list, i, field)
		name := nameOf(item)
		if v.failedToDecode(path) {
			set.incomplete = true
			continue
		}
		v.checkName(path, name)
		v.checkUnique(set.paths, result.BundleDuplicateName, path, name)
	}
	return set
}

// checkUnique reports a value that is already in seen, which maps values to their paths, and adds it otherwise.
func (v *validator) checkUnique(seen map[string]string, code result.Code, path, value string) {
	if v.failedToDecode(path) {
		return
	}
	if first, ok := seen[value]; ok {
		v.fail(code, path, "%s is also given at %s, line %d", quote(value), first, v.lineOf(first))
		return
	}
	seen[value] = path
}

// checkReference reports a reference to a name that is not defined.
func (v *validator) checkReference(set nameSet, kind, path, name string) {
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

// checkText checks free text. It rejects control characters because they could manipulate an operator's terminal.
func (v *validator) checkText(path, text string) {
	if len(text) > maxFreeTextBytes {
		v.fail(result.BundleBadValue, path, "%d bytes, at most %d are allowed", len(text), maxFreeTextBytes)
	}
	if strings.ContainsFunc(text, unicode.IsControl) {
		v.fail(result.BundleBadValue, path, "contains control characters")
	}
}

func (v *validator) checkRange(path string, value, minValue, maxValue int64) {
	if value < minValue || value > maxValue {
		v.fail(result.BundleBadLimit, path, "%d is not from %d to %d", value, minValue, maxValue)
	}
}

func (v *validator) checkRunningWork(path string, work RunningWorkPolicy) {
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

func (v *validator) checkTopLevelFields() {
	b := v.bundle
	if b.Version == 0 {
		v.fail(result.BundleBadLimit, "version", "versions start at 1")
	}
	if b.Base >= b.Version && b.Version > 0 && !v.failedToDecode("version") {
		v.fail(result.BundleBadLimit, "base", "base %d is not below version %d", b.Base, b.Version)
	}
	v.checkText("author", b.Author)
	v.checkText("reason", b.Reason)
	v.checkRange("isolation.serve_for_ms", b.Isolation.ServeForMS, 0, maxDurationMS)
}

func (v *validator) checkZones() {
	v.checkNotEmpty("availability_zones", len(v.bundle.Zones))
	for i, zone := range v.bundle.Zones {
		path := fmt.Sprintf("availability_zones[%d].", i)
		if zone.Region != "" {
			v.checkName(path+"region", zone.Region)
		}
		v.checkRunningWork(path+"running_work", zone.RunningWork)
		v.checkRange(path+"ramp_ms", zone.RampMS, 0, maxRampMS)
	}
}

func (v *validator) checkHosts() {
	v.checkNotEmpty("hosts", len(v.bundle.Hosts))
	addresses := map[string]string{}
	for i, host := range v.bundle.Hosts {
		path := fmt.Sprintf("hosts[%d].", i)
		v.checkAddress(path+"address", host.Address)
		v.checkUnique(addresses, result.BundleDuplicateName, path+"address", host.Address)
		v.checkReference(v.zones, "availability zone", path+"zone", host.Zone)
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

// checkAddress accepts only IP:port in its canonical form: host names would need DNS, and a different spelling of the
// same address would hide a duplicate.
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
	sum, complete := 0, !v.failedToDecode("teams")
	ids, hashes := map[string]string{}, map[string]string{}
	for i, team := range v.bundle.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		v.checkRange(path+"share_permille", int64(team.Share), 0, totalSharePermille)
		v.checkRange(path+"cap_slots", int64(team.Cap), 0, maxCount)
		v.checkRunningWork(path+"running_work", team.RunningWork)
		for k, key := range team.Keys {
			v.checkKey(fmt.Sprintf("%skeys[%d].", path, k), key, ids, hashes)
		}
		sum += team.Share
		complete = complete && !v.failedToDecode(path+"share_permille")
	}
	if complete && sum != totalSharePermille {
		v.fail(result.BundleSharesInvalid, "teams", "the shares add up to %d permille, want %d", sum, totalSharePermille)
	}
}

func (v *validator) checkKey(path string, key Key, ids, hashes map[string]string) {
	v.checkName(path+"id", key.ID)
	v.checkUnique(ids, result.BundleKeyRepeated, path+"id", key.ID)
	decoded, err := hex.DecodeString(key.SHA256)
	if err != nil || len(decoded) != keyBytes || hex.EncodeToString(decoded) != key.SHA256 {
		v.fail(result.BundleBadValue, path+"sha256", "want 64 lower-case hex digits")
	}
	v.checkUnique(hashes, result.BundleKeyRepeated, path+"sha256", key.SHA256)
	v.checkRunningWork(path+"running_work", key.RunningWork)
}

func (v *validator) checkInterventions() {
	for i, n := range v.bundle.Interventions {
		path := fmt.Sprintf("interventions[%d].", i)
		switch n.Kind {
		case InterventionDrain:
			v.checkReference(v.hosts, "host", path+"target", n.Target)
		case InterventionHold:
			v.checkReference(v.pools, "pool", path+"target", n.Target)
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
