// Command cgctl is the command-line tool for operators. It also runs test stand-ins of the platform and of upstreams.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

const description = `Repeat --host IP:port for each entry host. The hosts are tried in the given order.
--operator-key names the operator's private key file NAME.key. Bundles that other operators have
signed are verified with the NAME.pub files in the same directory, or in the --trust directory.

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another change, 4 rejected by an
availability budget, 5 committed but not accepted before the timeout.`

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
		Usage:                 "manage a citrongauge fleet",
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
	// The default handler of the CLI library prints help to standard output, where scripts expect JSON.
	_ = root.Walk(func(cmd *cli.Command) error {
		cmd.OnUsageError = handleUsageError
		return nil
	})
	return root
}

func handleUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}
