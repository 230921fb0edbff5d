// Package standin provides stand-ins for the platform and for upstreams, for tests only. They keep their state in
// memory and implement the server side of the HTTP protocols of packages platform and upstream. Requests under
// /control configure them, inject faults and read counters and logs.
package standin
