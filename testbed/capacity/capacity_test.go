package capacity

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/bundle"
)

// Guards against figures for another size than the one that is named: a bundle that lacks hosts, pools or teams.
func TestBundleHasTheSize(t *testing.T) {
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

// Guards against slopes that are off: a line without noise must be found exactly, and noise must show in the errors.
func TestFitFindsTheLine(t *testing.T) {
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
		line, err := FitLine(x, y)
		if err != nil {
			t.Fatal(err)
		}
		got := append([]float64{line.Intercept}, line.Slopes...)
		for i := range want {
			if math.Abs(got[i]-want[i]) > 1e-6 {
				t.Fatalf("coefficient %d: got %v, want %v", i, got[i], want[i])
			}
		}
		if noise > 0.01 && (line.Residual < noise/2 || line.Residual > 2*noise || line.InterceptError == 0) {
			t.Fatalf("noise %v: residual %v, intercept error %v", noise, line.Residual, line.InterceptError)
		}
	})
}

// Guards against slopes without meaning: sizes in which two predictors grow together cannot tell them apart.
func TestFitRefusesDependentPredictors(t *testing.T) {
	is := is.New(t)
	_, err := FitLine([][]float64{{1, 2}, {2, 4}, {3, 6}, {4, 8}}, []float64{1, 2, 3, 4})
	is.True(err != nil)
	_, err = FitLine([][]float64{{1, 2}}, []float64{1})
	is.True(err != nil)
	_, err = FitLine(nil, nil)
	is.True(err != nil)
}

// Guards against a processor time read from the wrong field when the command name holds brackets and spaces.
func TestProcessorSeconds(t *testing.T) {
	is := is.New(t)
	seconds, err := processorSeconds("12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0")
	is.NoErr(err)
	is.Equal(seconds, 2.0)
	for _, bad := range []string{"", "12 (a) S 1 2", "12 (a) S 1 2 3 4 5 6 7 8 9 10 x 50"} {
		_, err := processorSeconds(bad)
		is.True(err != nil)
	}
}

// Guards against metrics that are read wrongly: labels are summed up, comments left out.
func TestParseMetrics(t *testing.T) {
	is := is.New(t)
	text := "# HELP a b\na 1.5e+03\nb{queue=\"x y\",code=\"1\"} 2\nb{queue=\"z\",code=\"1\"} 3\nbroken\n"
	is.Equal(parseMetrics([]byte(text)), map[string]float64{"a": 1500, "b": 5})
}

// Guards against control being counted as cost of requests: the slope is the request's, the intercept is control's.
func TestReportTellsRequestsFromControl(t *testing.T) {
	is := is.New(t)
	size := Size{Upstreams: 50, Pools: 5, Teams: 6, Zones: 3, EntryHosts: 6}
	var windows []Window
	for _, rate := range []float64{0, 10, 20} {
		w := Window{Size: size, Phase: Rest, Hosts: []HostSample{{Role: Plain, Requests: rate, CPU: 0.01 + 0.0005*rate}}}
		if rate > 0 {
			w.Phase, w.Rate = Requests, rate
		}
		windows = append(windows, w)
	}
	report, err := NewReport(windows)
	is.NoErr(err)
	is.Equal(len(report.PerRequest), 1)
	is.True(math.Abs(report.PerRequest[0].Line.Slopes[0]-500) < 1e-6)
	is.True(math.Abs(report.PerRequest[0].Line.Intercept-10000) < 1e-6)
}
