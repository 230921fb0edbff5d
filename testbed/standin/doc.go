// Package standin holds stand-ins for the platform and for upstreams, for tests. They keep their state in memory,
// speak the HTTP protocols of packages platform and upstream, and inject faults on request under /control.
package standin
