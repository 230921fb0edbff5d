package capacity

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// Report holds the means of the samples and the linear models fitted to them.
type Report struct {
	Means []Mean `json:"means"`
	Fits  []Fit  `json:"fits"`
	// PerRequest holds models of the CPU time per request in microseconds, one for each size and run time.
	PerRequest []Fit `json:"per_request"`
}

// Mean holds the means and standard deviations over all samples with the same size, phase, rate, run time and role.
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
	AcceptedMS  []int64            `json:"rollout_ms,omitempty"`
	ConfirmedMS []int64            `json:"confirmed_ms,omitempty"`
	Rollouts    int                `json:"rollouts,omitempty"`
}

// Fit is a linear model of one quantity for one role.
type Fit struct {
	Role     Role        `json:"role"`
	Quantity string      `json:"quantity"`
	Model    LinearModel `json:"line"`
	// Measured and Fitted are the mean of the samples and the value of the model at the largest size. Extrapolated is
	// the value there of a model fitted to all other sizes only, or 0 if these do not vary enough.
	Measured     float64 `json:"measured"`
	Fitted       float64 `json:"fitted"`
	Extrapolated float64 `json:"without"`
	Size
}

// quantity is a measured quantity of a host.
type quantity struct {
	name  string
	value func(h HostSample) float64
}

const bytesPerMB = 1 << 20

// quantities lists the quantities in the order of the report. The amounts of data do not include the log.
var quantities = []quantity{
	{"cpu %", func(h HostSample) float64 { return 100 * h.CPU }},
	{"RSS MB", func(h HostSample) float64 { return h.RSS / bytesPerMB }},
	{"anon MB", func(h HostSample) float64 { return h.AnonRSS / bytesPerMB }},
	{"heap MB", func(h HostSample) float64 { return h.HeapInuse / bytesPerMB }},
	{"peer sent KB/s", func(h HostSample) float64 { return h.PeerSent / 1000 }},
	{"other sent KB/s", func(h HostSample) float64 { return (h.Written - h.PeerSent) / 1000 }},
	{"received KB/s", func(h HostSample) float64 { return h.Read / 1000 }},
}

// predictors returns the predictors of the models for a host: the numbers of upstreams, of teams and of the host's
// heartbeat links. Relays and the planner also have links to the relays of the other zones.
func predictors(s Size, role Role) []float64 {
	links := s.EntryHosts/s.Zones - 1
	if role != RolePlain {
		links += s.Zones - 1
	}
	return []float64{float64(s.Upstreams), float64(s.Teams), float64(links)}
}

// Summary returns a one-line summary of the window with the mean CPU usage per role.
func (w *Window) Summary() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %g/s, %d upstreams, %d teams, %d entry hosts:", w.Phase, w.Rate, w.Upstreams, w.Teams, w.EntryHosts)
	for _, role := range []Role{RolePlain, RoleRelay, RolePlanner} {
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

// meanKey identifies the samples over which a Mean is computed.
type meanKey struct {
	Size
	phase Phase
	rate  float64
	runMS int64
	role  Role
}

// NewReport computes the means and fits the models. Models for which the samples are not sufficient are omitted.
func NewReport(windows []Window) (*Report, error) {
	if len(windows) == 0 {
		return nil, errors.New("no windows")
	}
	r := &Report{Means: computeMeans(windows)}
	largest := largestSize(windows)
	for _, role := range []Role{RolePlain, RoleRelay, RolePlanner} {
		for _, q := range quantities {
			if fit, err := fitAtRest(windows, role, q, largest); err == nil {
				r.Fits = append(r.Fits, fit)
			}
		}
	}
	r.PerRequest = fitPerRequest(windows)
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

func computeMeans(windows []Window) []Mean {
	samplesByKey := make(map[meanKey][]HostSample)
	windowsByKey := make(map[meanKey][]Window)
	for _, w := range windows {
		for _, h := range w.Hosts {
			key := meanKey{w.Size, w.Phase, w.Rate, w.RunMS, h.Role}
			samplesByKey[key] = append(samplesByKey[key], h)
		}
		for _, role := range []Role{RolePlain, RoleRelay, RolePlanner} {
			key := meanKey{w.Size, w.Phase, w.Rate, w.RunMS, role}
			windowsByKey[key] = append(windowsByKey[key], w)
		}
	}
	var all []Mean
	for key, samples := range samplesByKey {
		all = append(all, newMean(key, samples, windowsByKey[key]))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].less(all[j]) })
	return all
}

func newMean(key meanKey, samples []HostSample, windows []Window) Mean {
	m := Mean{Size: key.Size, Phase: key.phase, Rate: key.rate, RunMS: key.runMS, Role: key.role, Samples: len(samples),
		Values: make(map[string]float64), Deviations: make(map[string]float64), Calls: make(map[string]float64)}
	for _, q := range quantities {
		values := make([]float64, len(samples))
		for i, h := range samples {
			values[i] = q.value(h)
		}
		m.Values[q.name], m.Deviations[q.name] = meanAndDeviation(values)
	}
	for _, w := range windows {
		for name, rate := range w.Calls {
			m.Calls[name] += rate / float64(len(windows))
		}
		m.RecordBytes, m.BundleBytes = w.RecordBytes, w.BundleBytes
		m.AcceptedMS = append(m.AcceptedMS, w.AcceptedMS...)
		m.ConfirmedMS = append(m.ConfirmedMS, w.ConfirmedMS...)
		m.Rollouts += w.Rollouts
	}
	return m
}

func (m Mean) less(o Mean) bool {
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
	// For a model without predictors, the intercept is the mean and the residual the standard deviation.
	model, err := FitLinearModel(make([][]float64, len(values)), values)
	if err != nil {
		return 0, 0
	}
	return model.Intercept, model.Residual
}

// fitAtRest fits a quantity to the predictors over the samples of a role in windows of PhaseRest.
func fitAtRest(windows []Window, role Role, q quantity, largest Size) (Fit, error) {
	var x, xOthers [][]float64
	var y, yOthers, atLargest []float64
	for _, w := range windows {
		if w.Phase != PhaseRest {
			continue
		}
		for _, h := range w.Hosts {
			if h.Role != role {
				continue
			}
			x, y = append(x, predictors(w.Size, role)), append(y, q.value(h))
			if w.Size == largest {
				atLargest = append(atLargest, q.value(h))
			} else {
				xOthers, yOthers = append(xOthers, predictors(w.Size, role)), append(yOthers, q.value(h))
			}
		}
	}
	model, err := FitLinearModel(x, y)
	if err != nil {
		return Fit{}, err
	}
	fit := Fit{Role: role, Quantity: q.name, Model: model, Fitted: model.At(predictors(largest, role)), Size: largest}
	fit.Measured, _ = meanAndDeviation(atLargest)
	if othersModel, err := FitLinearModel(xOthers, yOthers); err == nil {
		fit.Extrapolated = othersModel.At(predictors(largest, role))
	}
	return fit, nil
}

// fitPerRequest fits the CPU time of the hosts with RolePlain to their rate of requests, for each size and run time.
// The slope is in microseconds per request. Windows of PhaseRest are included for every run time.
func fitPerRequest(windows []Window) []Fit {
	type requestLoad struct {
		Size
		runMS int64
	}
	var requestLoads []requestLoad
	for _, w := range windows {
		if load := (requestLoad{w.Size, w.RunMS}); w.Phase == PhaseRequests && !slices.Contains(requestLoads, load) {
			requestLoads = append(requestLoads, load)
		}
	}
	var fits []Fit
	for _, load := range requestLoads {
		var x [][]float64
		var y []float64
		for _, w := range windows {
			if w.Size != load.Size || w.Phase == PhaseRollouts || w.Phase == PhaseRequests && w.RunMS != load.runMS {
				continue
			}
			for _, h := range w.Hosts {
				if h.Role == RolePlain {
					x, y = append(x, []float64{h.Requests}), append(y, 1e6*h.CPU)
				}
			}
		}
		if model, err := FitLinearModel(x, y); err == nil {
			fits = append(fits, Fit{Role: RolePlain, Quantity: fmt.Sprintf("cpu µs per request of %d ms", load.runMS), Model: model, Size: load.Size})
		}
	}
	return fits
}
