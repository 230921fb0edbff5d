package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Variants of a figure.
const (
	Measured = "citrongauge"
	Baseline = "baseline"
	Bound    = "bound"
	// Trial is the production code with a setting other than the one in use.
	Trial = "trial"
)

// sample is the value of one figure in one run.
type sample struct {
	name    string
	variant string
	unit    string
	value   float64
	target  target
}

// target is the limit of a figure from docs/design.md, section 1.3. The zero value means that there is none.
type target struct {
	atMost  float64
	atLeast float64
}

func (t target) String() string {
	switch {
	case t.atMost > 0:
		return fmt.Sprintf("<= %g", t.atMost)
	case t.atLeast > 0:
		return fmt.Sprintf(">= %g", t.atLeast)
	}
	return ""
}

func (t target) isMet(value float64) bool {
	return t.atMost > 0 && value <= t.atMost || t.atLeast > 0 && value >= t.atLeast
}

// verdict describes how many runs meet the target. A verdict on the median would hide the runs that miss it.
func (t target) verdict(values []float64) string {
	met := 0
	for _, v := range values {
		if t.isMet(v) {
			met++
		}
	}
	switch {
	case t == target{}:
		return ""
	case met == len(values):
		return "met"
	case met == 0:
		return "missed"
	}
	return fmt.Sprintf("met in %d of %d runs", met, len(values))
}

// Row summarizes a figure over the runs with all seeds.
type Row struct {
	Measure    string `json:"measure"`
	Deployment string `json:"deployment"`
	Name       string `json:"name"`
	// Variant is Measured, or begins with Baseline, Bound or Trial.
	Variant string `json:"variant"`
	Unit    string `json:"unit"`
	// Median, Min and Max are over the runs that have a value for the figure, and Runs is the number of these.
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
	Target string  `json:"target,omitempty"`
	// Verdict describes whether all runs, some or none meet the target.
	Verdict string `json:"verdict,omitempty"`
	// Values are the values of the runs in the order of their seeds.
	Values []float64 `json:"values"`
}

// Report is the result of Run.
type Report struct {
	Seeds []uint64 `json:"seeds"`
	Rows  []Row    `json:"rows"`
}

// summarizeRuns combines the samples of all runs into one row per figure, in the order in which the figures first
// occur.
func summarizeRuns(measure, deployment string, runs [][]sample) []Row {
	type key struct{ name, variant, unit string }
	index := make(map[key]int)
	var result []Row
	targets := make(map[key]target)
	for _, run := range runs {
		for _, s := range run {
			k := key{s.name, s.variant, s.unit}
			i, ok := index[k]
			if !ok {
				i = len(result)
				index[k], targets[k] = i, s.target
				result = append(result, Row{
					Measure: measure, Deployment: deployment, Name: s.name, Variant: s.variant, Unit: s.unit,
					Target: s.target.String(),
				})
			}
			if !math.IsNaN(s.value) {
				result[i].Values = append(result[i].Values, s.value)
			}
		}
	}
	for i := range result {
		result[i].summarize(targets[key{result[i].Name, result[i].Variant, result[i].Unit}])
	}
	return result
}

func (r *Row) summarize(t target) {
	r.Runs = len(r.Values)
	if r.Runs == 0 {
		r.Values = []float64{}
		return
	}
	r.Median = median(r.Values)
	r.Min, r.Max = slices.Min(r.Values), slices.Max(r.Values)
	r.Verdict = t.verdict(r.Values)
}

// median returns the median, or NaN if there are no values.
func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile returns the given quantile with linear interpolation between values, or NaN if there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	position := fraction * float64(len(sorted)-1)
	low := int(position)
	if low+1 == len(sorted) {
		return sorted[low]
	}
	return sorted[low] + (position-float64(low))*(sorted[low+1]-sorted[low])
}

// mean returns the arithmetic mean, or NaN if there are no values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func largest(values []float64) float64 { return quantile(values, 1) }

// Table returns the report as the rows of a table, starting with the header.
func (r Report) Table() [][]string {
	table := [][]string{{"MEASURE", "DEPLOYMENT", "FIGURE", "VARIANT", "MEDIAN", "RANGE", "UNIT", "TARGET"}}
	for _, row := range r.Rows {
		table = append(table, []string{
			row.Measure, row.Deployment, row.Name, row.Variant, formatFigure(row.Median),
			formatFigure(row.Min) + " .. " + formatFigure(row.Max), row.Unit,
			strings.Trim(row.Target+", "+row.Verdict, ", "),
		})
	}
	return table
}

func formatFigure(v float64) string {
	switch {
	case v == 0 || math.Abs(v) >= 100:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}
