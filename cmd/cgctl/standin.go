package main

import "github.com/urfave/cli/v3"

// standinCommand returns the command that runs the stand-ins for tests.
func standinCommand() *cli.Command {
	return &cli.Command{Name: "standin", Usage: "run a stand-in of the platform or of an upstream"}
}
