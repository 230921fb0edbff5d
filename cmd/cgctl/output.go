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

// printer writes text or JSON. Colours appear on terminals only.
type printer struct {
	out  io.Writer
	json bool
	// printed: a JSON object was written.
	printed          bool
	good, warn, head lipgloss.Style
}

func newPrinter(cmd *cli.Command) (*printer, error) {
	out := cmd.Root().Writer
	renderer := lipgloss.NewRenderer(out)
	p := &printer{
		out:  out,
		good: renderer.NewStyle().Foreground(lipgloss.Color("2")),
		warn: renderer.NewStyle().Foreground(lipgloss.Color("3")),
		head: renderer.NewStyle().Bold(true),
	}
	switch output := cmd.String(flagOutput); output {
	case "text":
	case "json":
		p.json = true
	default:
		return nil, usageError{fmt.Sprintf("--output %q: want text or json", output)}
	}
	return p, nil
}

// line prints a line in text mode.
func (p *printer) line(format string, args ...any) {
	if !p.json {
		_, _ = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// object prints a value in JSON mode.
func (p *printer) object(value any) error {
	if !p.json {
		return nil
	}
	p.printed = true
	encoder := json.NewEncoder(p.out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// table prints rows in aligned columns in text mode. The first row is the heading.
func (p *printer) table(rows [][]string) {
	if p.json || len(rows) < 2 {
		return
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	heading, rest, _ := strings.Cut(text.String(), "\n")
	p.line("%s\n%s", p.head.Render(strings.TrimRight(heading, " ")), rest)
}

func (p *printer) changes(changes []bundle.Change) {
	for _, change := range changes {
		style := p.warn
		if change.Old == "" {
			style = p.good
		}
		p.line("%s", style.Render(change.String()))
	}
}

// zones prints the progress of a roll-out.
func (p *printer) zones(zones []admin.ZoneProgress) {
	for _, zone := range zones {
		style, state := p.good, "confirmed"
		if zone.Confirmed < zone.Members {
			style, state = p.warn, "waiting for "+strings.Join(zone.WaitingFor, ", ")
		}
		if zone.Blocked {
			state += ", cut off"
		}
		if zone.LatestEndMS >= 0 && zone.Confirmed < zone.Members {
			state += ", at the latest until " + age(zone.LatestEndMS) + " from now"
		}
		p.line("  %-16s %d/%d %s", zone.Zone, zone.Confirmed, zone.Members, style.Render(state))
	}
}

// age returns a time in milliseconds for people; -1 stands for one that is not known.
func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
