// Package standin provides stand-ins for the platform and for upstreams, for tests only. They keep their state in
// memory and implement the server side of the HTTP protocols of platform.HTTPClient and package upstream, which the
// daemon uses. For the protocols of the users' platform, see package fleet. Requests under /control configure the
// stand-ins, inject faults and read counters and logs.
package standin
