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
		Name: "bundle", Usage: "make, check, compare and sign bundles",
		Commands: []*cli.Command{
			newBundleCommand(),
			{Name: "check", Usage: "show all errors of bundles", ArgsUsage: "FILE...", Action: action(checkBundles)},
			{Name: "diff", Usage: "show the changes from one bundle to another", ArgsUsage: "A B", Action: action(diffBundles)},
			{
				Name: "sign", Usage: "sign a bundle, for a roll-out by somebody else", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the signed bundle"}},
				Action: action(signBundle),
			},
		},
	}
}

// readBundle reads a bundle in text form.
func readBundle(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the bundle")
	}
	b, problems := bundle.Parse(file, text)
	return b, problems.Err()
}

func checkBundles(_ context.Context, cmd *cli.Command, p *printer) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usageError{"want arguments: FILE..."}
	}
	all := bundle.Problems{}
	for _, file := range files {
		_, err := readBundle(file)
		var problems bundle.Problems
		switch {
		case errors.As(err, &problems):
			all = append(all, problems...)
		case err != nil:
			return err
		default:
			p.line("%s: %s", file, p.good.Render("ok"))
		}
	}
	if err := p.object(map[string]any{"problems": all}); err != nil {
		return err
	}
	return all.Err()
}

func diffBundles(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := arguments(cmd, 2)
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
	p.changes(changes)
	return p.object(map[string]any{"changes": changes})
}

func signBundle(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	operator, key, err := operatorKey(cmd)
	if err != nil {
		return err
	}
	b, err := readBundle(args[0])
	if err != nil {
		return err
	}
	if err := writeNew(cmd.String("out"), string(bundle.Sign(b, key, operator).Encode())); err != nil {
		return err
	}
	p.line("version %d signed by %s: %s", b.Version, operator, cmd.String("out"))
	return p.object(map[string]any{"version": b.Version, "operator": operator, "file": cmd.String("out")})
}
