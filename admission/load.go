package admission

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// LoadTTL is the age after which a load report of another host is ignored.
const LoadTTL = 5 * time.Second

// LoadKey identifies the load of a team on a pool.
type LoadKey struct {
	Pool string
	Team string
}

// Load is the running and waiting demand of one team on one pool, as reported by one host or zone.
type Load struct {
	Pool string `cbor:"1,keyasint"`
	Team string `cbor:"2,keyasint"`
	// Use is the total size of the running requests.
	Use upstream.Size `cbor:"3,keyasint"`
	// Backlogs is the total size of the waiting requests, WaitingTasks their number.
	Waiting      upstream.Size `cbor:"4,keyasint"`
	WaitingTasks int           `cbor:"5,keyasint,omitempty"`
	// UrgentWaiting is the number of urgent requests that have waited longer than UrgentWaitLimit.
	UrgentWaiting int `cbor:"6,keyasint,omitempty"`
}

// peerLoad is the last load report of another host or zone.
type peerLoad struct {
	receivedAt time.Time
	loads      []Load
}

func addSize(a, b upstream.Size) upstream.Size {
	a.Slots += b.Slots
	a.CPUs += b.CPUs
	a.MemoryMB += b.MemoryMB
	a.Accelerators += b.Accelerators
	return a
}

func subSize(a, b upstream.Size) upstream.Size {
	a.Slots -= b.Slots
	a.CPUs -= b.CPUs
	a.MemoryMB -= b.MemoryMB
	a.Accelerators -= b.Accelerators
	return a
}

func addLoad(a, b Load) Load {
	a.Use = addSize(a.Use, b.Use)
	a.Waiting = addSize(a.Waiting, b.Waiting)
	a.WaitingTasks += b.WaitingTasks
	a.UrgentWaiting += b.UrgentWaiting
	return a
}

// SumLoads adds up loads per pool and team.
func SumLoads(lists ...[]Load) []Load {
	index := make(map[LoadKey]int)
	var sum []Load
	for _, list := range lists {
		for _, l := range list {
			key := LoadKey{l.Pool, l.Team}
			i, ok := index[key]
			if !ok {
				index[key] = len(sum)
				sum = append(sum, l)
				continue
			}
			sum[i] = addLoad(sum[i], l)
		}
	}
	return sum
}
