package standin

import (
	"sort"
	"sync"
	"time"

	"citrongauge.example/citrongauge/platform"
)

// Host is a host as the platform stand-in knows it, the body of PUT /control/hosts/{id}.
type Host struct {
	State   platform.HostState `json:"state"`
	Drained bool               `json:"drained,omitempty"`
	// Upstream is IP:port of the host's upstream stand-in, which is told of reboots. It may be empty.
	Upstream string `json:"upstream,omitempty"`
}

// hostVersion is the host list from a moment on.
type hostVersion struct {
	since time.Time
	list  []platform.HostStatus
}

// hostList keeps the hosts and the past lists that are still needed to answer with a lag.
type hostList struct {
	mu      sync.Mutex
	hosts   map[string]Host
	history []hostVersion
}

// maxHostListLag bounds the lag, and so the history that is kept.
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

// update adds or changes a host and records the new list.
func (l *hostList) update(now time.Time, id string, change func(h *Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.hosts[id]
	change(&host)
	l.hosts[id] = host
	l.record(now)
}

func (l *hostList) record(now time.Time) {
	list := make([]platform.HostStatus, 0, len(l.hosts))
	for id, h := range l.hosts {
		list = append(list, platform.HostStatus{ID: id, State: h.State, Drained: h.Drained})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	l.history = append(l.history, hostVersion{since: now, list: list})
	for len(l.history) > 1 && now.Sub(l.history[1].since) > maxHostListLag {
		l.history = l.history[1:]
	}
}

// at returns the list as it was at t, or the oldest one that is kept.
func (l *hostList) at(t time.Time) []platform.HostStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return []platform.HostStatus{}
	}
	i := sort.Search(len(l.history), func(i int) bool { return l.history[i].since.After(t) })
	return l.history[max(0, i-1)].list
}
