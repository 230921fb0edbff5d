package experiment

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// maxParallelRuns is the maximum number of concurrent runs. Each run uses one processor.
const maxParallelRuns = 4

// Measure is one of the measures of the system's performance.
type Measure struct {
	Name        string
	Description string
	run         func(d Deployment, seed uint64) []sample
}

// Measures returns the measures in the order of docs/design.md, section 1.3.
func Measures() []Measure {
	return []Measure{
		{"share", "how close each team is to its share", measureShare},
		{"zone", "work done while an availability zone leaves and returns", measureZone},
		{"rollout", "roll-out time", measureRollout},
		{"moves", "moves of spare hosts", measureMoves},
		{"buffer", "capacity held idle", measureBuffer},
	}
}

// Deployments returns the deployments of docs/design.md, section 1.1.
func Deployments() []Deployment { return []Deployment{Karri(), KainLena()} }

// Options select what Run measures.
type Options struct {
	// Measure is the name of a measure, Deployment that of a deployment. An empty name selects all.
	Measure    string
	Deployment string
	// Seeds is the number of runs, whose seeds are 1, 2, 3 and so on.
	Seeds int
}

// selected returns the measures and deployments that the options select.
func (o Options) selected() ([]Measure, []Deployment, error) {
	measures := slices.DeleteFunc(Measures(), func(m Measure) bool { return o.Measure != "" && m.Name != o.Measure })
	deployments := slices.DeleteFunc(Deployments(), func(d Deployment) bool {
		return o.Deployment != "" && d.Name != o.Deployment
	})
	switch {
	case len(measures) == 0:
		return nil, nil, errors.Errorf("unknown measure %q", o.Measure)
	case len(deployments) == 0:
		return nil, nil, errors.Errorf("unknown deployment %q", o.Deployment)
	case o.Seeds < 1:
		return nil, nil, errors.Errorf("number of seeds is %d, but must be at least 1", o.Seeds)
	}
	return measures, deployments, nil
}

// Validate returns an error if the options are invalid.
func (o Options) Validate() error {
	_, _, err := o.selected()
	return err
}

// Run runs the selected measures with each seed and returns their figures.
func Run(ctx context.Context, o Options) (Report, error) {
	measures, deployments, err := o.selected()
	if err != nil {
		return Report{}, err
	}
	report := Report{}
	for i := range o.Seeds {
		report.Seeds = append(report.Seeds, uint64(i+1))
	}
	for _, m := range measures {
		for _, d := range deployments {
			runs, err := runSeeds(ctx, m, d, report.Seeds)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, summarizeRuns(m.Name, d.Name, runs)...)
		}
	}
	return report, nil
}

func runSeeds(ctx context.Context, m Measure, d Deployment, seeds []uint64) ([][]sample, error) {
	runs := make([][]sample, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelRuns)
	for i, seed := range seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			runs[i] = m.run(d, seed)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrap(err, m.Name)
	}
	return runs, nil
}
