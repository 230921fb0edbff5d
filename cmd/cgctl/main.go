// Command cgctl is the operators' tool. It also runs the stand-ins for tests.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

const description = `Entry hosts are given with --host IP:port, once for each. They are tried in turn.
An operator's key file NAME.key is given with --operator-key; the bundles of other operators
are verified with the NAME.pub files in its directory, or in that of --trust.

Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict with another change, 4 refused by an
availability budget, 5 committed but not accepted in time.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run runs the tool and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := rootCommand(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	return reportError(err, args, out, errOut)
}

func rootCommand(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "cgctl",
		Usage:                 "operate citrongauge",
		Description:           description,
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags:                 globalFlags(),
		Commands: []*cli.Command{
			keysCommand(), bundleCommand(), rolloutCommand(), statusCommand(), historyCommand(), explainCommand(),
			hostCommand(), zoneCommand(), entryCommand(), keyCommand(), taskCommand(), jobCommand(), standinCommand(), measureCommand(),
			capacityCommand(),
		},
	}
	// The library's own handler prints the help to the output, which may be read as JSON.
	_ = root.Walk(func(cmd *cli.Command) error {
		cmd.OnUsageError = usageHandler
		return nil
	})
	return root
}

func usageHandler(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}
