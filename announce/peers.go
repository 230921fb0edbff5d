package announce

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Identity is what a host states about itself in the headers of its connection's handshake. Hosts of earlier versions state nothing,
// and ignore the headers.
type Identity struct {
	Host    string
	Process string // random ID, new at each start of the host's process
	Zone    string
	Address string // internal address
}

const (
	headerHost    = "Citrongauge-Host"
	headerProcess = "Citrongauge-Process"
	headerZone    = "Citrongauge-Zone"
	headerAddress = "Citrongauge-Address"
	// maxIdentityBytes bounds each field of a received identity.
	maxIdentityBytes = 256
)

func (i Identity) header() http.Header {
	header := http.Header{}
	header.Set(headerHost, i.Host)
	header.Set(headerProcess, i.Process)
	header.Set(headerZone, i.Zone)
	header.Set(headerAddress, i.Address)
	return header
}

// identityOf returns the identity in a handshake's headers; empty if it is not complete.
func identityOf(header http.Header) Identity {
	i := Identity{header.Get(headerHost), header.Get(headerProcess), header.Get(headerZone), header.Get(headerAddress)}
	for _, field := range []string{i.Host, i.Process, i.Zone, i.Address} {
		if field == "" || len(field) > maxIdentityBytes {
			return Identity{}
		}
	}
	if _, _, err := net.SplitHostPort(i.Address); err != nil {
		return Identity{}
	}
	return i
}

const (
	// maxPeers bounds the number of connected hosts that are remembered. A host beyond it counts as one of an earlier version.
	maxPeers = 4096
	// earlierVersionMemory is how long a host of an earlier version is remembered after its connection has ended: it may only be
	// connecting again.
	earlierVersionMemory = 10 * time.Second
)

// Peers are the hosts that are connected to send announcements. It is safe for concurrent use. The zero value has none.
type Peers struct {
	mu    sync.Mutex
	peers map[*Peer]struct{}
	// earlierUntil is until when a host of an earlier version that is not connected any more is remembered.
	earlierUntil time.Time
	excess       int // number of connected hosts beyond maxPeers, which count as of an earlier version
}

func (p *Peers) add(peer *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[*Peer]struct{}{}
	}
	if len(p.peers) >= maxPeers {
		p.excess++
		return
	}
	p.peers[peer] = struct{}{}
}

func (p *Peers) remove(peer *Peer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.peers[peer]; !known {
		p.excess--
		return
	}
	delete(p.peers, peer)
	if peer.Identity == (Identity{}) {
		p.earlierUntil = now.Add(earlierVersionMemory)
	}
}

// Connected returns the identities of the connected hosts, in no order, and whether a host of an earlier version is connected or was a
// moment ago.
func (p *Peers) Connected() (identities []Identity, anyEarlier bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyEarlier = p.excess > 0 || time.Now().Before(p.earlierUntil)
	for peer := range p.peers {
		if peer.Identity == (Identity{}) {
			anyEarlier = true
			continue
		}
		identities = append(identities, peer.Identity)
	}
	return identities, anyEarlier
}
