package main

import (
	"context"
	"os"

	"citrongauge.example/citrongauge/bundle"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name: "bundle", Usage: "create, check, compare and sign bundles",
		Commands: []*cli.Command{
			newBundleCommand(),
			{Name: "check", Usage: "report all errors in bundle files", ArgsUsage: "FILE...", Action: action(checkBundles)},
			{Name: "diff", Usage: "show the changes from one bundle to another", ArgsUsage: "A B", Action: action(diffBundles)},
			{
				Name: "sign", Usage: "sign a bundle that another operator will roll out", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the signed bundle"}},
				Action: action(signBundle),
			},
		},
	}
}

// readBundle reads and validates a bundle file in JSON with comments.
func readBundle(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read bundle file")
	}
	b, problems := bundle.Parse(file, text)
	return b, problems.Err()
}

func checkBundles(_ context.Context, cmd *cli.Command, p *printer) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usageError{"expected arguments: FILE..."}
	}
	allProblems := bundle.Problems{}
	for _, file := range files {
		_, err := readBundle(file)
		var problems bundle.Problems
		switch {
		case errors.As(err, &problems):
			allProblems = append(allProblems, problems...)
		case err != nil:
			return err
		default:
			p.printLine("%s: %s", file, p.okStyle.Render("ok"))
		}
	}
	if err := p.printJSON(map[string]any{"problems": allProblems}); err != nil {
		return err
	}
	return allProblems.Err()
}

func diffBundles(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := exactArgs(cmd, 2)
	if err != nil {
		return err
	}
	a, err := readBundle(args[0])
	if err != nil {
		return err
	}
	b, err := readBundle(args[1])
	if err != nil {
		return err
	}
	changes := bundle.Diff(a, b)
	p.printChanges(changes)
	return p.printJSON(map[string]any{"changes": changes})
}

func signBundle(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	operator, key, err := readOperatorKey(cmd)
	if err != nil {
		return err
	}
	b, err := readBundle(args[0])
	if err != nil {
		return err
	}
	if err := writeNewFile(cmd.String("out"), string(bundle.Sign(b, key, operator).Encode())); err != nil {
		return err
	}
	p.printLine("version %d signed by %s: %s", b.Version, operator, cmd.String("out"))
	return p.printJSON(map[string]any{"version": b.Version, "operator": operator, "file": cmd.String("out")})
}
