package capacity

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// Report holds the means of the samples and the lines fitted to them.
type Report struct {
	Means []Mean `json:"means"`
	Fits  []Fit  `json:"fits"`
	// PerRequest is the processor time of a request in microseconds, by size and run time.
	PerRequest []Fit `json:"per_request"`
}

// Mean is the mean of the samples of one role in all windows of one kind.
type Mean struct {
	Size
	Phase       Phase              `json:"phase"`
	Rate        float64            `json:"rate"`
	RunMS       int64              `json:"run_ms,omitempty"`
	Role        Role               `json:"role"`
	Samples     int                `json:"samples"`
	Values      map[string]float64 `json:"values"`
	Deviations  map[string]float64 `json:"deviations"`
	Calls       map[string]float64 `json:"calls_per_s"`
	RecordBytes int                `json:"record_bytes"`
	BundleBytes int                `json:"bundle_bytes"`
	RolloutMS   []int64            `json:"rollout_ms,omitempty"`
	ConfirmedMS []int64            `json:"confirmed_ms,omitempty"`
	Rollouts    int                `json:"rollouts,omitempty"`
}

// Fit is a line for one quantity of one role.
type Fit struct {
	Role     Role   `json:"role"`
	Quantity string `json:"quantity"`
	Line     Line   `json:"line"`
	// Measured and Fitted are the values at the largest size. Without is the value that the line through the samples of
	// all other sizes has there, 0 if these do not vary enough.
	Measured float64 `json:"measured"`
	Fitted   float64 `json:"fitted"`
	Without  float64 `json:"without"`
	Size
}

// quantity is something that is measured of each host.
type quantity struct {
	name string
	of   func(h HostSample) float64
}

const mega = 1 << 20

// quantities are shown in this order. Sums of bytes leave the log out.
var quantities = []quantity{
	{"cpu %", func(h HostSample) float64 { return 100 * h.CPU }},
	{"RSS MB", func(h HostSample) float64 { return h.RSS / mega }},
	{"anon MB", func(h HostSample) float64 { return h.Anon / mega }},
	{"heap MB", func(h HostSample) float64 { return h.HeapUsed / mega }},
	{"peer sent KB/s", func(h HostSample) float64 { return h.PeerSent / 1000 }},
	{"other sent KB/s", func(h HostSample) float64 { return (h.Written - h.PeerSent) / 1000 }},
	{"received KB/s", func(h HostSample) float64 { return h.Read / 1000 }},
}

// predictors returns what the lines are fitted to: upstreams, teams and heartbeat links.
func predictors(s Size, role Role) []float64 {
	links := s.EntryHosts/s.Zones - 1
	if role != Plain {
		links += s.Zones - 1
	}
	return []float64{float64(s.Upstreams), float64(s.Teams), float64(links)}
}

// Summary returns one line about a window.
func (w *Window) Summary() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %g/s, %d upstreams, %d teams, %d entry hosts:", w.Phase, w.Rate, w.Upstreams, w.Teams, w.EntryHosts)
	for _, role := range []Role{Plain, Relay, Planner} {
		sum, count := 0.0, 0.0
		for _, h := range w.Hosts {
			if h.Role == role {
				sum += 100 * h.CPU
				count++
			}
		}
		if count > 0 {
			fmt.Fprintf(&text, " %s %.2f%%", role, sum/count)
		}
	}
	return text.String()
}

type meanKey struct {
	Size
	phase Phase
	rate  float64
	runMS int64
	role  Role
}

// NewReport computes means and fits.
func NewReport(windows []Window) (*Report, error) {
	if len(windows) == 0 {
		return nil, errors.New("no windows")
	}
	r := &Report{Means: means(windows)}
	largest := largestSize(windows)
	for _, role := range []Role{Plain, Relay, Planner} {
		for _, q := range quantities {
			if fit, err := fitRest(windows, role, q, largest); err == nil {
				r.Fits = append(r.Fits, fit)
			}
		}
	}
	r.PerRequest = perRequest(windows)
	return r, nil
}

func largestSize(windows []Window) Size {
	largest := windows[0].Size
	for _, w := range windows {
		if w.Upstreams*w.Teams*w.EntryHosts > largest.Upstreams*largest.Teams*largest.EntryHosts {
			largest = w.Size
		}
	}
	return largest
}

func means(windows []Window) []Mean {
	groups := make(map[meanKey][]HostSample)
	sources := make(map[meanKey][]Window)
	for _, w := range windows {
		for _, h := range w.Hosts {
			key := meanKey{w.Size, w.Phase, w.Rate, w.RunMS, h.Role}
			groups[key] = append(groups[key], h)
		}
		for _, role := range []Role{Plain, Relay, Planner} {
			key := meanKey{w.Size, w.Phase, w.Rate, w.RunMS, role}
			sources[key] = append(sources[key], w)
		}
	}
	var all []Mean
	for key, samples := range groups {
		all = append(all, newMean(key, samples, sources[key]))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].before(all[j]) })
	return all
}

func newMean(key meanKey, samples []HostSample, windows []Window) Mean {
	m := Mean{Size: key.Size, Phase: key.phase, Rate: key.rate, RunMS: key.runMS, Role: key.role, Samples: len(samples),
		Values: make(map[string]float64), Deviations: make(map[string]float64), Calls: make(map[string]float64)}
	for _, q := range quantities {
		values := make([]float64, len(samples))
		for i, h := range samples {
			values[i] = q.of(h)
		}
		m.Values[q.name], m.Deviations[q.name] = meanAndDeviation(values)
	}
	for _, w := range windows {
		for name, rate := range w.Calls {
			m.Calls[name] += rate / float64(len(windows))
		}
		m.RecordBytes, m.BundleBytes = w.RecordBytes, w.BundleBytes
		m.RolloutMS = append(m.RolloutMS, w.RolloutMS...)
		m.ConfirmedMS = append(m.ConfirmedMS, w.ConfirmedMS...)
		m.Rollouts += w.Rollouts
	}
	return m
}

func (m Mean) before(o Mean) bool {
	a := [...]float64{phaseOrder(m.Phase), float64(m.Upstreams), float64(m.Teams), float64(m.EntryHosts), m.Rate, float64(m.RunMS), roleOrder(m.Role)}
	b := [...]float64{phaseOrder(o.Phase), float64(o.Upstreams), float64(o.Teams), float64(o.EntryHosts), o.Rate, float64(o.RunMS), roleOrder(o.Role)}
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

func phaseOrder(p Phase) float64 { return float64(strings.Index("rest rollouts requests", string(p))) }
func roleOrder(r Role) float64   { return float64(strings.Index("plain relay planner", string(r))) }

func meanAndDeviation(values []float64) (mean, deviation float64) {
	// The deviation is that of a line without slopes.
	line, err := FitLine(make([][]float64, len(values)), values)
	if err != nil {
		return 0, 0
	}
	return line.Intercept, line.Residual
}

// fitRest fits the samples at rest.
func fitRest(windows []Window, role Role, q quantity, largest Size) (Fit, error) {
	var x, xWithout [][]float64
	var y, yWithout, atLargest []float64
	for _, w := range windows {
		if w.Phase != Rest {
			continue
		}
		for _, h := range w.Hosts {
			if h.Role != role {
				continue
			}
			x, y = append(x, predictors(w.Size, role)), append(y, q.of(h))
			if w.Size == largest {
				atLargest = append(atLargest, q.of(h))
			} else {
				xWithout, yWithout = append(xWithout, predictors(w.Size, role)), append(yWithout, q.of(h))
			}
		}
	}
	line, err := FitLine(x, y)
	if err != nil {
		return Fit{}, err
	}
	fit := Fit{Role: role, Quantity: q.name, Line: line, Fitted: line.At(predictors(largest, role)), Size: largest}
	fit.Measured, _ = meanAndDeviation(atLargest)
	if without, err := FitLine(xWithout, yWithout); err == nil {
		fit.Without = without.At(predictors(largest, role))
	}
	return fit, nil
}

// perRequest fits each plain host's processor time to its rate of requests, in microseconds per request, for each size
// and run time. The windows at rest count for every run time.
func perRequest(windows []Window) []Fit {
	type kind struct {
		Size
		runMS int64
	}
	var kinds []kind
	for _, w := range windows {
		if k := (kind{w.Size, w.RunMS}); w.Phase == Requests && !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	var fits []Fit
	for _, k := range kinds {
		var x [][]float64
		var y []float64
		for _, w := range windows {
			if w.Size != k.Size || w.Phase == Rollouts || w.Phase == Requests && w.RunMS != k.runMS {
				continue
			}
			for _, h := range w.Hosts {
				if h.Role == Plain {
					x, y = append(x, []float64{h.Requests}), append(y, 1e6*h.CPU)
				}
			}
		}
		if line, err := FitLine(x, y); err == nil {
			fits = append(fits, Fit{Role: Plain, Quantity: fmt.Sprintf("cpu µs per request of %d ms", k.runMS), Line: line, Size: k.Size})
		}
	}
	return fits
}
