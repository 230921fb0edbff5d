package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/upstream"
)

// Sizes and delays that both deployments of docs/design.md, section 1.1, have in common.
const (
	serviceCount       = 5
	hostsPerService    = 10
	spareHostCount     = 4
	hostsPerRack       = 4
	slotsPerHost       = 8
	cpusPerHost        = 16
	connectionsPerHost = 64
	sparePool          = "spare"
	entryHostsPerZone  = 2

	// inZoneDelay is the one-way delay between two machines of a zone.
	inZoneDelay = 100 * time.Microsecond
	// storeServiceTime is the time that the platform's store needs for one call, without the network delay.
	storeServiceTime = 2 * time.Millisecond
)

// Deployment describes one of the two deployments that use the system.
type Deployment struct {
	Name string
	// ZoneRTT is the round-trip time between availability zones, ClientRTT that between callers and entry hosts.
	ZoneRTT   time.Duration
	ClientRTT time.Duration
	MemoryMB  int
	Zones     []string
	Teams     []Team
}

// Team is a team with its share and its fraction of the load.
type Team struct {
	Name  string
	Share int // permille of the capacity
	// Demand is the team's fraction of all requests, in permille.
	Demand int
	// Size is the actual resource use of a task with one slot.
	Size upstream.Size
}

// Karri is the deployment of Karri Signworks Group.
func Karri() Deployment {
	return newDeployment("karri", 500*time.Microsecond, 3*time.Millisecond, 64<<10)
}

// KainLena is the deployment of Kain Lena Linens.
func KainLena() Deployment {
	return newDeployment("kainlena", 1500*time.Microsecond, time.Millisecond, 32<<10)
}

// newDeployment returns a deployment with six teams, three of them large. Team "new" has a demand far above its share,
// the tasks of "cutting" need many processors, and those of "layout" much memory.
func newDeployment(name string, zoneRTT, clientRTT time.Duration, memoryMB int) Deployment {
	slotMemoryMB := memoryMB / slotsPerHost
	return Deployment{
		Name: name, ZoneRTT: zoneRTT, ClientRTT: clientRTT, MemoryMB: memoryMB,
		Zones: []string{"a", "b", "c"},
		Teams: []Team{
			{Name: "orders", Share: 300, Demand: 200, Size: upstream.Size{Slots: 1, CPUs: 1, MemoryMB: slotMemoryMB / 4}},
			{Name: "proofs", Share: 250, Demand: 180, Size: upstream.Size{Slots: 1, CPUs: 1, MemoryMB: slotMemoryMB / 4}},
			{Name: "new", Share: 200, Demand: 350, Size: upstream.Size{Slots: 1, CPUs: 1, MemoryMB: slotMemoryMB / 2}},
			{Name: "cutting", Share: 100, Demand: 100, Size: upstream.Size{Slots: 1, CPUs: 3, MemoryMB: slotMemoryMB / 4}},
			{Name: "layout", Share: 100, Demand: 100, Size: upstream.Size{Slots: 1, CPUs: 1, MemoryMB: slotMemoryMB * 3 / 2}},
			{Name: "labels", Share: 50, Demand: 70, Size: upstream.Size{Slots: 1, CPUs: 1, MemoryMB: slotMemoryMB / 8}},
		},
	}
}

func (d Deployment) weights() map[string]int {
	weights := make(map[string]int, len(d.Teams))
	for _, t := range d.Teams {
		weights[t.Name] = t.Share
	}
	return weights
}

// oneWayDelay returns the network delay of a message between two zones, or within a zone.
func (d Deployment) oneWayDelay(from, to string) time.Duration {
	if from == to {
		return inZoneDelay
	}
	return d.ZoneRTT / 2
}

func (d Deployment) hostCapacity() upstream.Size {
	return upstream.Size{Slots: slotsPerHost, CPUs: cpusPerHost, MemoryMB: d.MemoryMB}
}

// poolCapacity returns the capacity of a pool with n hosts.
func (d Deployment) poolCapacity(n int) upstream.Size {
	return upstream.Size{Slots: n * slotsPerHost, CPUs: n * cpusPerHost, MemoryMB: n * d.MemoryMB}
}

func serviceName(i int) string { return fmt.Sprint("service-", i+1) }

// roster returns the entry hosts in the order in which they joined. The first host of each zone is the zone's relay.
func (d Deployment) roster() []control.Member {
	var roster []control.Member
	for i := range entryHostsPerZone {
		for _, zone := range d.Zones {
			id := fmt.Sprint(zone, i+1)
			roster = append(roster, control.Member{ID: id, Zone: zone, Address: id})
		}
	}
	return roster
}

// bundle returns the deployment's first bundle. The hosts of each pool are spread over the zones.
func (d Deployment) bundle() *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Isolation: bundle.Isolation{ServeForMS: bundle.DefaultServeForMS}}
	for _, z := range d.Zones {
		b.Zones = append(b.Zones, bundle.Zone{Name: z, RampMS: bundle.DefaultRampMS})
	}
	hostsPerZone := make(map[string]int)
	for i := range serviceCount {
		d.addPool(b, hostsPerZone, serviceName(i), hostsPerService)
	}
	d.addPool(b, hostsPerZone, sparePool, spareHostCount)
	b.Pools[serviceCount].Spare = true
	for _, t := range d.Teams {
		b.Teams = append(b.Teams, bundle.Team{
			Name: t.Name, Share: t.Share, Cap: serviceCount * hostsPerService * slotsPerHost,
		})
	}
	return b
}

func (d Deployment) addPool(b *bundle.Bundle, hostsPerZone map[string]int, name string, hosts int) {
	pool := bundle.Pool{
		Name: name, DrainMS: bundle.DefaultDrainMS,
		// Allows all spare hosts to be moved at the same time.
		Budget: bundle.Budget{MaxUnavailable: spareHostCount},
	}
	for range hosts {
		i := len(b.Hosts)
		zone := d.Zones[i%len(d.Zones)]
		host := bundle.Host{
			ID: fmt.Sprintf("u-%03d", i), Address: fmt.Sprintf("192.0.2.%d:7500", i+1), Zone: zone,
			Rack:     fmt.Sprint(zone, hostsPerZone[zone]/hostsPerRack),
			Capacity: d.hostCapacity(), Connections: connectionsPerHost,
		}
		hostsPerZone[zone]++
		b.Hosts = append(b.Hosts, host)
		pool.Hosts = append(pool.Hosts, host.ID)
	}
	b.Pools = append(b.Pools, pool)
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
