// Package intake bounds the memory, connections and descriptors that clients can make a process hold before it has decided
// about their requests. Each listener has a book that counts its connections and the bytes of heads and bodies that are being
// received, and that chooses what is closed when a bound is reached. The book has no input or output; the listener, its connections
// and ReadBody carry its decisions out.
package intake

const (
	// reservedDescriptors of a host's max_fds are for files.
	reservedDescriptors = 200
	// connectionBytes is what one connection without a large head or a body holds at most: 16 kB in the kernel's receive buffer and
	// as much in its send buffer, 8 kB in the buffers of net/http, two goroutines with stacks of up to 4 kB, and the structures of both.
	connectionBytes = 48 << 10
	// minConnections keeps a listener usable whatever the settings are.
	minConnections = 32
	// smallBody is the size in bytes up to which a body may use the whole budget. A job's spec has at most 4,000 bytes, so most
	// submissions are smaller. Larger ones leave a quarter of the budget to them.
	smallBody = 8 << 10
)

// Limits of the memory and the descriptors of the smallest and the largest entry hosts. The former apply to programs whose settings
// have no limits, the latter to entry hosts whose settings have none.
const (
	SmallestMemoryMB = 184
	SmallestMaxFDs   = 4100
	LargestMemoryMB  = 536
	LargestMaxFDs    = 8192
)

// Limits are the bounds of one listener.
type Limits struct {
	Connections int // open connections
	// KnownConnections is how many of them may belong to clients with a known key. The others are left to clients that have
	// not sent a key yet, so that a new connection need not displace one with a known key.
	KnownConnections int
	// HijackedConnections is how many of them may have been taken over by a handler, as those between hosts are.
	HijackedConnections int
	Bytes               int64 // of heads beyond their first 4 kB and of bodies
	LargeBytes          int64 // how many of them may belong to heads and to bodies over smallBody
}

// HostLimits are the bounds of the listeners of an entry host.
type HostLimits struct {
	Clients, Readiness, Internal Limits
}

// Derive returns the bounds for a host with the given memory in megabytes and maximum number of descriptors, 0 if unknown. The
// connections and bytes of all listeners together take at most half of the memory; the rest is for the state of the fleet.
func Derive(memoryMB, maxFDs int) HostLimits {
	if memoryMB <= 0 {
		memoryMB = LargestMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = LargestMaxFDs
	}
	memory := int64(memoryMB) << 20
	descriptors := max(maxFDs-reservedDescriptors, 0)
	return HostLimits{
		Clients:   newLimits(memory/4, descriptors/2, memory/8),
		Internal:  newLimits(memory/16, descriptors/8, memory/32),
		Readiness: newLimits(memory/64, descriptors/16, memory/64),
	}
}

// newLimits returns the bounds of a listener with a share of the memory for its connections, a share of the descriptors, and a
// budget for heads and bodies.
func newLimits(connectionMemory int64, descriptors int, bytes int64) Limits {
	connections := max(min(int(connectionMemory/connectionBytes), descriptors), minConnections)
	return Limits{
		Connections: connections, KnownConnections: connections - connections/8, HijackedConnections: connections - connections/4,
		Bytes: bytes, LargeBytes: bytes - bytes/4,
	}
}

// WithBody returns the bounds with a budget that has room for at least one body of the given size, also if its length is unknown.
func (l Limits) WithBody(bytes int64) Limits {
	const share = 4
	l.LargeBytes = max(l.LargeBytes, joinFactor*(bytes+2*maxSegmentBytes))
	l.Bytes = max(l.Bytes, l.LargeBytes+l.LargeBytes/(share-1))
	return l
}

// backlog returns how many connections may wait in the kernel to be accepted. Each can hold a full receive buffer there.
func (l Limits) backlog() int { return min(max(l.Connections/2, 128), 1024) }
