package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Markdown returns the report as Markdown tables.
func (r *Report) Markdown() string {
	var text strings.Builder
	r.writeMeans(&text)
	r.writeFits(&text)
	r.writeRequests(&text)
	return text.String()
}

func (r *Report) writeMeans(text *strings.Builder) {
	text.WriteString("| upstreams / pools / teams / zones / entry hosts | phase | role | samples |")
	for _, q := range quantities {
		fmt.Fprintf(text, " %s |", q.name)
	}
	text.WriteString(" store calls/s: reads, writes, watches, lists |\n|---|---|---|---|")
	text.WriteString(strings.Repeat("---|", len(quantities)+1) + "\n")
	for _, m := range r.Means {
		phase := string(m.Phase)
		if m.Rate > 0 {
			phase += fmt.Sprintf(" %g/s", m.Rate)
		}
		if m.RunMS > 0 {
			phase += fmt.Sprintf(" of %d ms", m.RunMS)
		}
		fmt.Fprintf(text, "| %s | %s | %s | %d |", m.Size, phase, m.Role, m.Samples)
		for _, q := range quantities {
			fmt.Fprintf(text, " %s ± %s |", formatNumber(m.Values[q.name]), formatNumber(m.Deviations[q.name]))
		}
		fmt.Fprintf(text, " %.1f, %.1f, %.1f, %.1f |\n", m.Calls["reads"], m.Calls["writes"], m.Calls["watches"], m.Calls["hosts"])
	}
	text.WriteString("\n")
	for _, m := range r.Means {
		if m.Role != RolePlain {
			continue
		}
		fmt.Fprintf(text, "%s, %s %g/s: record %d B, signed bundle %d B", m.Size, m.Phase, m.Rate, m.RecordBytes, m.BundleBytes)
		if m.Phase == PhaseRollouts {
			fmt.Fprintf(text, "; %d roll-outs", m.Rollouts)
			writeTimes(text, "confirmed by all", m.ConfirmedMS)
			writeTimes(text, "accepted", m.AcceptedMS)
		}
		text.WriteString("\n")
	}
}

func writeTimes(text *strings.Builder, name string, times []int64) {
	if len(times) == 0 {
		return
	}
	times = slices.Sorted(slices.Values(times))
	fmt.Fprintf(text, "; %s after the commit: median %d ms, largest %d ms of %d", name, times[len(times)/2], times[len(times)-1], len(times))
}

func (r *Report) writeFits(text *strings.Builder) {
	text.WriteString("\n| role at rest | quantity | intercept | per upstream | per team | per link | residual | measured at largest | line there | line without it |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, f := range r.Fits {
		model := f.Model
		fmt.Fprintf(text, "| %s | %s | %s ± %s |", f.Role, f.Quantity, formatNumber(model.Intercept), formatNumber(model.InterceptError))
		for i := range model.Slopes {
			fmt.Fprintf(text, " %s ± %s |", formatNumber(model.Slopes[i]), formatNumber(model.SlopeErrors[i]))
		}
		fmt.Fprintf(text, " %s | %s | %s | %s |\n", formatNumber(model.Residual), formatNumber(f.Measured), formatNumber(f.Fitted), formatNumber(f.Extrapolated))
	}
}

func (r *Report) writeRequests(text *strings.Builder) {
	text.WriteString("\n| size | quantity | per request | control, µs per second | residual | samples |\n|---|---|---|---|---|---|\n")
	for _, f := range r.PerRequest {
		model := f.Model
		fmt.Fprintf(text, "| %s | %s | %s ± %s | %s ± %s | %s | %d |\n", f.Size, f.Quantity, formatNumber(model.Slopes[0]), formatNumber(model.SlopeErrors[0]),
			formatNumber(model.Intercept), formatNumber(model.InterceptError), formatNumber(model.Residual), model.Samples)
	}
}

// String returns the size in the order of the heading of the table of means.
func (s Size) String() string {
	return fmt.Sprintf("%d / %d / %d / %d / %d", s.Upstreams, s.Pools, s.Teams, s.Zones, s.EntryHosts)
}

func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
