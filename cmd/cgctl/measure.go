package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"citrongauge.example/citrongauge/testbed/experiment"
)

const defaultSeeds = 5

// measureCommand returns the measure command, which repeats the measurements of docs/MEASURES.md.
func measureCommand() *cli.Command {
	var descriptions, names, deployments []string
	for _, m := range experiment.Measures() {
		names = append(names, m.Name)
		descriptions = append(descriptions, fmt.Sprintf("%-8s  %s", m.Name, m.Description))
	}
	for _, d := range experiment.Deployments() {
		deployments = append(deployments, d.Name)
	}
	return &cli.Command{
		Name:        "measure",
		Usage:       "measure the decision logic with a simulated clock, against baselines and bounds",
		Description: "Measures:\n" + strings.Join(descriptions, "\n"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "one of " + strings.Join(names, ", ")},
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "number of runs, with the seeds 1, 2, 3 and so on"},
			&cli.StringFlag{Name: "deployment", Value: "all", Usage: strings.Join(deployments, ", ") + " or all"},
		},
		Action: action(runMeasure),
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command, p *printer) error {
	options := experiment.Options{Measure: cmd.String("only"), Seeds: int(cmd.Int("seeds")), Deployment: cmd.String("deployment")}
	if options.Deployment == "all" {
		options.Deployment = ""
	}
	if err := options.Validate(); err != nil {
		return usageError{err.Error()}
	}
	report, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	p.printTable(report.Table())
	return p.printJSON(report)
}
