package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"os"
	"path/filepath"

	"citrongauge.example/citrongauge/bundle"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// secretMode is the mode of files with keys.
const secretMode = 0o600

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make keys",
		Commands: []*cli.Command{
			{
				Name: "operator", Usage: "make an operator's key pair NAME.key and NAME.pub", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: ".", Usage: "`DIR` for the files"}},
				Action: action(makeOperatorKeys),
			},
			{Name: "team", Usage: "make a team key and its hash for the bundle", Action: action(makeTeamKey)},
		},
	}
}

func makeOperatorKeys(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	name := args[0]
	if name != filepath.Base(name) || name == "." || name == ".." {
		return usageError{"NAME is used as a file name"}
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make the key pair")
	}
	base := filepath.Join(cmd.String("dir"), name)
	if err := writeNew(base+privateSuffix, bundle.FormatPrivateKey(private)+"\n"); err != nil {
		return err
	}
	if err := writeNew(base+publicSuffix, bundle.FormatPublicKey(public)+"\n"); err != nil {
		return err
	}
	p.line("private key: %s\npublic key:  %s", base+privateSuffix, base+publicSuffix)
	p.line("for the settings of the entry hosts: %q: %q", name, bundle.FormatPublicKey(public))
	return p.object(map[string]string{"operator": name, "private_key_file": base + privateSuffix,
		"public_key_file": base + publicSuffix, "public_key": bundle.FormatPublicKey(public)})
}

func makeTeamKey(_ context.Context, _ *cli.Command, p *printer) error {
	key, hash := bundle.NewTeamKey()
	p.line("key (for the team):     %s\nsha256 (for the bundle): %s", key, hash)
	return p.object(map[string]string{"key": key, "sha256": hash})
}

// writeNew writes a file that only its owner can read. It never replaces a file.
func writeNew(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if err != nil {
		return errors.Wrap(err, "create the file")
	}
	if _, err := file.WriteString(text); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the file")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write the file")
	}
	return nil
}

// arguments returns exactly count arguments.
func arguments(cmd *cli.Command, count int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) != count {
		return nil, usageError{"want arguments: " + cmd.ArgsUsage}
	}
	return args, nil
}
