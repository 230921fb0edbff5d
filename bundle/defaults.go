package bundle

import "fmt"

// Defaults of optional fields. An explicit 0 is not replaced.
const (
	DefaultServeForMS    = 600_000
	DefaultRampMS        = 30_000
	DefaultDrainMS       = 120_000
	DefaultMaxQueued     = 1000
	DefaultMaxDeadlineMS = 600_000
	DefaultConnections   = 64
)

// fillDefaults sets the fields that are absent from the text.
func fillDefaults(b *Bundle, r *reporter) {
	setDefault(r, "isolation.serve_for_ms", &b.Isolation.ServeForMS, DefaultServeForMS)
	for i := range b.Zones {
		path := fmt.Sprintf("availability_zones[%d].", i)
		setDefault(r, path+"ramp_ms", &b.Zones[i].RampMS, DefaultRampMS)
		setDefault(r, path+"running_work", &b.Zones[i].RunningWork, WorkFinish)
	}
	for i := range b.Hosts {
		setDefault(r, fmt.Sprintf("hosts[%d].connections", i), &b.Hosts[i].Connections, DefaultConnections)
	}
	for i := range b.Pools {
		setDefault(r, fmt.Sprintf("pools[%d].drain_ms", i), &b.Pools[i].DrainMS, DefaultDrainMS)
	}
	for i := range b.Queues {
		path := fmt.Sprintf("queues[%d].", i)
		setDefault(r, path+"max_queued", &b.Queues[i].MaxQueued, DefaultMaxQueued)
		setDefault(r, path+"max_deadline_ms", &b.Queues[i].MaxDeadlineMS, DefaultMaxDeadlineMS)
	}
	for i := range b.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		setDefault(r, path+"running_work", &b.Teams[i].RunningWork, WorkFinish)
		for k := range b.Teams[i].Keys {
			setDefault(r, fmt.Sprintf("%skeys[%d].running_work", path, k), &b.Teams[i].Keys[k].RunningWork, WorkFinish)
		}
	}
	b.normalize()
}

// setDefault sets a field to a value if the text does not contain its path.
func setDefault[T any](r *reporter, path string, field *T, value T) {
	if !r.present(path) {
		*field = value
	}
}

// normalize gives empty lists the form that they have after the canonical form is parsed: lists that the canonical form
// omits when empty are nil, all other lists are non-nil.
func (b *Bundle) normalize() {
	nilIfEmpty(&b.Interventions)
	emptyIfNil(&b.Zones)
	emptyIfNil(&b.Hosts)
	emptyIfNil(&b.Pools)
	emptyIfNil(&b.Queues)
	emptyIfNil(&b.Teams)
	for i := range b.Pools {
		emptyIfNil(&b.Pools[i].Hosts)
	}
	for i := range b.Queues {
		nilIfEmpty(&b.Queues[i].Teams)
	}
	for i := range b.Teams {
		emptyIfNil(&b.Teams[i].Keys)
	}
}

func nilIfEmpty[T any](list *[]T) {
	if len(*list) == 0 {
		*list = nil
	}
}

func emptyIfNil[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}
