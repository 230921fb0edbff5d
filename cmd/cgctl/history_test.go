package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against interventions that are missing in the history, or listed again with every later version.
func TestHistoryInterventions(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.as("amara", exitOK, "host", "drain", "u-000", "--for", "1h", "--reason", "fan") // version 2
	until := b.current().Interventions[0].Until
	b.as("bo", exitOK, "zone", "out", "zone-3", "--reason", "switch")                  // version 3
	b.as("amara", exitOK, "host", "drain", "u-000", "--for", "2h", "--reason", "disk") // version 4 replaces the drain
	b.as("bo", exitOK, "host", "return", "u-000", "--reason", "done")                  // version 5

	read := func(number string) []historyEntry {
		var entries []historyEntry
		text := b.tool(exitOK, "--host", b.host, "--operator-key", b.file("bo.key"), "--output", "json", "history", "-n", number)
		is.NoErr(json.Unmarshal([]byte(text), &entries))
		return entries
	}
	changes := func(e historyEntry) string {
		var parts []string
		for _, n := range e.Started {
			parts = append(parts, "+"+n.ID+" "+n.Author+" "+n.Reason)
		}
		for _, n := range e.Removed {
			parts = append(parts, "-"+n.ID+" "+n.Author+" "+n.Reason)
		}
		return strings.Join(parts, ", ")
	}
	entries := read("9")
	is.Equal(len(entries), 5)
	for i, want := range []string{"-drain-4 amara disk", "+drain-4 amara disk, -drain-2 amara fan", "", "+drain-2 amara fan", ""} {
		is.Equal(changes(entries[i]), want)
	}
	is.Equal(changes(read("2")[1]), changes(entries[1])) // the base of the last version is not listed and counts
	is.Equal(len(read("0")), 0)

	text := b.tool(exitOK, "--host", b.host, "--operator-key", b.file("bo.key"), "history")
	is.True(strings.Contains(strings.Join(strings.Fields(text), " "), "2 started drain u-000 "+until+" amara fan"))
	b.fleet.envelopes[2] = nil // version 3 is not kept
	entries = read("9")
	is.Equal(len(entries), 2)
	is.Equal(changes(entries[1]), "")
}
