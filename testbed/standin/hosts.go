package standin

import (
	"sort"
	"sync"
	"time"

	"citrongauge.example/citrongauge/platform"
)

// Host is the state of a host at the platform stand-in, and the body of PUT /control/hosts/{id}.
type Host struct {
	State   platform.HostState `json:"state"`
	Drained bool               `json:"drained,omitempty"`
	// Upstream is the address (IP:port) of the host's upstream stand-in, to which reboots are forwarded. It may be
	// empty.
	Upstream string `json:"upstream,omitempty"`
}

// hostListVersion is the host list as it was from the given time until the next version.
type hostListVersion struct {
	since time.Time
	list  []platform.HostStatus
}

// hostList holds the hosts and the earlier versions of the list that are needed to return it with a lag.
type hostList struct {
	mu      sync.Mutex
	hosts   map[string]Host
	history []hostListVersion
}

// maxHostListLag limits the lag of the host list. Versions that are no longer needed for it are dropped.
const maxHostListLag = time.Minute

func newHostList() *hostList {
	return &hostList{hosts: map[string]Host{}}
}

func (l *hostList) get(id string) (Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host, known := l.hosts[id]
	return host, known
}

// update adds or changes a host and appends the new version of the list.
func (l *hostList) update(now time.Time, id string, change func(h *Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.hosts[id]
	change(&host)
	l.hosts[id] = host
	l.appendVersion(now)
}

func (l *hostList) appendVersion(now time.Time) {
	list := make([]platform.HostStatus, 0, len(l.hosts))
	for id, h := range l.hosts {
		list = append(list, platform.HostStatus{ID: id, State: h.State, Drained: h.Drained})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	l.history = append(l.history, hostListVersion{since: now, list: list})
	for len(l.history) > 1 && now.Sub(l.history[1].since) > maxHostListLag {
		l.history = l.history[1:]
	}
}

// listAt returns the list as it was at t, or the oldest version that is kept.
func (l *hostList) listAt(t time.Time) []platform.HostStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return []platform.HostStatus{}
	}
	i := sort.Search(len(l.history), func(i int) bool { return l.history[i].since.After(t) })
	return l.history[max(0, i-1)].list
}
