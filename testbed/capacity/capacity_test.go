package capacity

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/bundle"
)

// TestBundleHasRequestedSize guards against measurements at another size than the reported one, because the bundle does
// not have the requested number of hosts, pools, teams or zones.
func TestBundleHasRequestedSize(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		s := Size{
			Pools: rapid.IntRange(2, 81).Draw(t, "pools"), Teams: rapid.IntRange(1, 76).Draw(t, "teams"),
			Zones: rapid.IntRange(3, 7).Draw(t, "zones"),
		}
		s.Upstreams = rapid.IntRange(2*s.Pools, 510).Draw(t, "upstreams")
		b, keys, err := NewBundle(s, netip.MustParseAddr("127.0.0.1"), 20000)
		if err != nil {
			t.Fatal(err)
		}
		if len(b.Hosts) != s.Upstreams || len(b.Pools) != s.Pools || len(b.Teams) != s.Teams || len(b.Zones) != s.Zones || len(keys) != s.Teams {
			t.Fatalf("%v: got %d hosts, %d pools, %d teams, %d zones", s, len(b.Hosts), len(b.Pools), len(b.Teams), len(b.Zones))
		}
		before := b.Digest()
		NextVersion(b)
		if _, problems := bundle.Parse("next", b.Canonical()); len(problems) > 0 || b.Digest() == before || b.Base != 1 {
			t.Fatalf("next version: %v", problems)
		}
	})
	_, _, err := NewBundle(Size{Upstreams: 3, Pools: 2, Teams: 1, Zones: 1}, netip.MustParseAddr("127.0.0.1"), 20000)
	is.True(err != nil)
}

// TestFitRecoversCoefficients guards against wrong coefficients and wrong errors. The noise is symmetric, so that it
// does not change the coefficients, but must be reported as residual.
func TestFitRecoversCoefficients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Float64Range(-10, 10), 4, 4).Draw(t, "coefficients")
		noise := rapid.Float64Range(0, 1).Draw(t, "noise")
		var x [][]float64
		var y []float64
		for i, s := range [][]float64{{50, 6, 1}, {150, 30, 2}, {510, 76, 3}, {510, 6, 1}, {50, 76, 1}, {50, 6, 3}} {
			for _, sign := range []float64{-1, 1} {
				x = append(x, s)
				y = append(y, want[0]+want[1]*s[0]+want[2]*s[1]+want[3]*s[2]+sign*noise*float64(i%2))
			}
		}
		model, err := FitLinearModel(x, y)
		if err != nil {
			t.Fatal(err)
		}
		got := append([]float64{model.Intercept}, model.Slopes...)
		for i := range want {
			if math.Abs(got[i]-want[i]) > 1e-6 {
				t.Fatalf("coefficient %d: got %v, want %v", i, got[i], want[i])
			}
		}
		if noise > 0.01 && (model.Residual < noise/2 || model.Residual > 2*noise || model.InterceptError == 0) {
			t.Fatalf("noise %v: residual %v, intercept error %v", noise, model.Residual, model.InterceptError)
		}
	})
}

// TestFitRejectsDependentPredictors guards against meaningless slopes if the predictors are collinear or there are too
// few samples.
func TestFitRejectsDependentPredictors(t *testing.T) {
	is := is.New(t)
	_, err := FitLinearModel([][]float64{{1, 2}, {2, 4}, {3, 6}, {4, 8}}, []float64{1, 2, 3, 4})
	is.True(err != nil)
	_, err = FitLinearModel([][]float64{{1, 2}}, []float64{1})
	is.True(err != nil)
	_, err = FitLinearModel(nil, nil)
	is.True(err != nil)
}

// TestParseCPUSeconds guards against reading the CPU time from the wrong field if the command name contains spaces and
// parentheses.
func TestParseCPUSeconds(t *testing.T) {
	is := is.New(t)
	seconds, err := parseCPUSeconds("12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0")
	is.NoErr(err)
	is.Equal(seconds, 2.0)
	for _, bad := range []string{"", "12 (a) S 1 2", "12 (a) S 1 2 3 4 5 6 7 8 9 10 x 50"} {
		_, err := parseCPUSeconds(bad)
		is.True(err != nil)
	}
}

// TestParseMetrics guards against metrics that are not summed over their labels, and against parsing comments as
// metrics.
func TestParseMetrics(t *testing.T) {
	is := is.New(t)
	text := "# HELP a b\na 1.5e+03\nb{queue=\"x y\",code=\"1\"} 2\nb{queue=\"z\",code=\"1\"} 3\nbroken\n"
	is.Equal(parseMetrics([]byte(text)), map[string]float64{"a": 1500, "b": 5})
}

// TestReportSeparatesRequestCostFromBaseline guards against attributing the cost of the control plane to requests: the
// slope must be the cost per request, the intercept that of the control plane.
func TestReportSeparatesRequestCostFromBaseline(t *testing.T) {
	is := is.New(t)
	size := Size{Upstreams: 50, Pools: 5, Teams: 6, Zones: 3, EntryHosts: 6}
	var windows []Window
	for _, rate := range []float64{0, 10, 20} {
		w := Window{Size: size, Phase: PhaseRest, Hosts: []HostSample{{Role: RolePlain, Requests: rate, CPU: 0.01 + 0.0005*rate}}}
		if rate > 0 {
			w.Phase, w.Rate = PhaseRequests, rate
		}
		windows = append(windows, w)
	}
	report, err := NewReport(windows)
	is.NoErr(err)
	is.Equal(len(report.PerRequest), 1)
	is.True(math.Abs(report.PerRequest[0].Model.Slopes[0]-500) < 1e-6)
	is.True(math.Abs(report.PerRequest[0].Model.Intercept-10000) < 1e-6)
}
