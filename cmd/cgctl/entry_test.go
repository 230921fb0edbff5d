package main

import (
	"strings"
	"testing"

	"citrongauge.example/citrongauge/admin"

	"github.com/matryer/is"
)

// TestEntryClear checks that entry hosts are cleared only after a warning and with matching --confirm IDs, and that
// members of the roster are never cleared.
func TestEntryClear(t *testing.T) {
	h := newHarness(t)
	h.entryHost.members = []admin.MemberStatus{
		{ID: "e1", Zone: "zone-2", Address: "127.0.0.1:7", DepartedMS: -1},
		{ID: "e8", Zone: "zone-1", Address: "127.0.0.1:8", Departed: true, DepartedMS: 1000},
		{ID: "e9", Zone: "zone-2", Address: "127.0.0.1:7", Departed: true, DepartedMS: 2000},
	}
	tests := []struct {
		code    int
		args    string
		shown   string
		cleared string
	}{
		{exitUsage, "--reason burnt", "", ""},
		{exitUsage, "e9", "", ""},
		{exitUsage, "e9 --reason burnt", "could exceed its cap", ""},
		{exitUsage, "e9 --reason burnt --confirm e8", "could exceed its cap", ""},
		{exitUsage, "e8 e9 --reason burnt --confirm e9", "could exceed its cap", ""},
		{exitFailed, "e1 --reason burnt --confirm e1", "", ""},
		{exitFailed, "e5 --reason burnt --confirm e5", "", ""},
		{exitFailed, "e9 e1 --reason burnt --confirm e9,e1", "", ""},
		{exitOK, "e9 --reason burnt --confirm e9", "on the departed list for at least 2s as seen by e1\n" +
			"  its address is used by member e1 now\n  it is waited for; without clearing, the wait for its zone ends within 5s",
			"e9 by bo: burnt"},
		{exitOK, "e8 e9 --reason burnt --confirm e9,e8", "cleared with revision 9: e8, e9", "e8,e9 by bo: burnt"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			is := is.New(t)
			h.entryHost.cleared = nil
			args := append([]string{"--host", h.host, "--operator-key", h.file("bo.key"), "entry", "clear"}, strings.Fields(test.args)...)
			text := h.runTool(test.code, args...)
			is.True(strings.Contains(text, test.shown))
			is.Equal(strings.Join(h.entryHost.cleared, ";"), test.cleared)
		})
	}
}
