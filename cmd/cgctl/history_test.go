package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHistoryInterventions checks that the history lists each change of an intervention once, with the version that
// made it, and that it ends at the first version that is no longer stored.
func TestHistoryInterventions(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.runAs("amara", exitOK, "host", "drain", "u-000", "--for", "1h", "--reason", "fan") // version 2
	until := h.currentBundle().Interventions[0].Until
	h.runAs("bo", exitOK, "zone", "out", "zone-3", "--reason", "switch")                  // version 3
	h.runAs("amara", exitOK, "host", "drain", "u-000", "--for", "2h", "--reason", "disk") // version 4 replaces the drain
	h.runAs("bo", exitOK, "host", "return", "u-000", "--reason", "done")                  // version 5

	readHistory := func(number string) []historyEntry {
		var entries []historyEntry
		text := h.runTool(exitOK, "--host", h.host, "--operator-key", h.file("bo.key"), "--output", "json", "history", "-n", number)
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
	entries := readHistory("9")
	is.Equal(len(entries), 5)
	for i, want := range []string{"-drain-4 amara disk", "+drain-4 amara disk, -drain-2 amara fan", "", "+drain-2 amara fan", ""} {
		is.Equal(changes(entries[i]), want)
	}
	is.Equal(changes(readHistory("2")[1]), changes(entries[1])) // the base of the last listed version is fetched for the comparison
	is.Equal(len(readHistory("0")), 0)

	text := h.runTool(exitOK, "--host", h.host, "--operator-key", h.file("bo.key"), "history")
	is.True(strings.Contains(strings.Join(strings.Fields(text), " "), "2 started drain u-000 "+until+" amara fan"))
	h.entryHost.signedBundles[2] = nil // version 3 is no longer stored
	entries = readHistory("9")
	is.Equal(len(entries), 2)
	is.Equal(changes(entries[1]), "")
}
