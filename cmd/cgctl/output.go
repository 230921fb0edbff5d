package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"

	"github.com/charmbracelet/lipgloss"
	"github.com/urfave/cli/v3"
)

// printer writes text or JSON to out. Text is colored only on terminals.
type printer struct {
	out      io.Writer
	jsonMode bool
	// jsonWritten is set once a JSON value has been written.
	jsonWritten                      bool
	okStyle, warnStyle, headingStyle lipgloss.Style
}

func newPrinter(cmd *cli.Command) (*printer, error) {
	out := cmd.Root().Writer
	renderer := lipgloss.NewRenderer(out)
	p := &printer{
		out:          out,
		okStyle:      renderer.NewStyle().Foreground(lipgloss.Color("2")),
		warnStyle:    renderer.NewStyle().Foreground(lipgloss.Color("3")),
		headingStyle: renderer.NewStyle().Bold(true),
	}
	switch output := cmd.String(flagOutput); output {
	case "text":
	case "json":
		p.jsonMode = true
	default:
		return nil, usageError{fmt.Sprintf("--output %q: expected text or json", output)}
	}
	return p, nil
}

// printLine prints a formatted line in text mode.
func (p *printer) printLine(format string, args ...any) {
	if !p.jsonMode {
		_, _ = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// printJSON prints a value as JSON in JSON mode.
func (p *printer) printJSON(value any) error {
	if !p.jsonMode {
		return nil
	}
	p.jsonWritten = true
	encoder := json.NewEncoder(p.out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable prints rows in aligned columns in text mode. The first row is the heading; a table with no other row is
// omitted.
func (p *printer) printTable(rows [][]string) {
	if p.jsonMode || len(rows) < 2 {
		return
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	heading, rest, _ := strings.Cut(text.String(), "\n")
	p.printLine("%s\n%s", p.headingStyle.Render(strings.TrimRight(heading, " ")), rest)
}

func (p *printer) printChanges(changes []bundle.Change) {
	for _, change := range changes {
		style := p.warnStyle
		if change.Old == "" {
			style = p.okStyle
		}
		p.printLine("%s", style.Render(change.String()))
	}
}

// printZoneProgress prints the progress of a rollout in each availability zone.
func (p *printer) printZoneProgress(zones []admin.ZoneProgress) {
	for _, zone := range zones {
		style, state := p.okStyle, "confirmed"
		if zone.Confirmed < zone.Members {
			style, state = p.warnStyle, "waiting for "+strings.Join(zone.WaitingFor, ", ")
		}
		if zone.Blocked {
			state += ", cut off"
		}
		if zone.LatestEndMS >= 0 && zone.Confirmed < zone.Members {
			state += ", at the latest until " + formatMS(zone.LatestEndMS) + " from now"
		}
		p.printLine("  %-16s %d/%d %s", zone.Zone, zone.Confirmed, zone.Members, style.Render(state))
	}
}

// formatMS formats a duration in milliseconds. A negative value means unknown and is formatted as "-".
func formatMS(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
