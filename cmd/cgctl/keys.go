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

// secretFileMode is the mode of files that may contain keys.
const secretFileMode = 0o600

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "generate keys",
		Commands: []*cli.Command{
			{
				Name: "operator", Usage: "generate an operator's key pair NAME.key and NAME.pub", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: ".", Usage: "`DIR` for the files"}},
				Action: action(generateOperatorKeys),
			},
			{Name: "team", Usage: "generate a team key and its hash for the bundle", Action: action(generateTeamKey)},
		},
	}
}

func generateOperatorKeys(_ context.Context, cmd *cli.Command, p *printer) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	name := args[0]
	if name != filepath.Base(name) || name == "." || name == ".." {
		return usageError{"NAME must be usable as a file name"}
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key pair")
	}
	base := filepath.Join(cmd.String("dir"), name)
	if err := writeNewFile(base+privateSuffix, bundle.FormatPrivateKey(private)+"\n"); err != nil {
		return err
	}
	if err := writeNewFile(base+publicSuffix, bundle.FormatPublicKey(public)+"\n"); err != nil {
		return err
	}
	p.printLine("private key: %s\npublic key:  %s", base+privateSuffix, base+publicSuffix)
	p.printLine("for the settings of the entry hosts: %q: %q", name, bundle.FormatPublicKey(public))
	return p.printJSON(map[string]string{"operator": name, "private_key_file": base + privateSuffix,
		"public_key_file": base + publicSuffix, "public_key": bundle.FormatPublicKey(public)})
}

func generateTeamKey(_ context.Context, _ *cli.Command, p *printer) error {
	key, hash := bundle.NewTeamKey()
	p.printLine("key (for the team):     %s\nsha256 (for the bundle): %s", key, hash)
	return p.printJSON(map[string]string{"key": key, "sha256": hash})
}

// writeNewFile creates a file that only its owner can read. It fails if the file exists.
func writeNewFile(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if _, err := file.WriteString(text); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write file")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write file")
	}
	return nil
}

// exactArgs returns the arguments, or a usage error unless there are exactly count.
func exactArgs(cmd *cli.Command, count int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) != count {
		return nil, usageError{"expected arguments: " + cmd.ArgsUsage}
	}
	return args, nil
}
