package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// jobRequestTimeout limits the time of one HTTP request of the job commands.
const jobRequestTimeout = 5 * time.Second

// jobCommand returns the job command, which calls the API of entry hosts on the users' platform.
func jobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "submit, show and cancel jobs at an entry host on the platform",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job and print its ID",
				Flags: append(jobFlags(),
					&cli.StringFlag{Name: "id", Usage: "`ID` of 16 hexadecimal digits; a repeat with the same ID is safe (default: a new ID)"},
					&cli.StringFlag{Name: "file", Required: true, Usage: "`FILE` with the job as JSON, - for standard input"}),
				Action: submitJob,
			},
			{Name: "show", Usage: "show a job's phase", ArgsUsage: "ID", Flags: jobFlags(), Action: jobAction(http.MethodGet)},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: jobFlags(), Action: jobAction(http.MethodDelete)},
			{
				Name: "explain", Usage: "show the progress of a job and what it waits for", ArgsUsage: "ID",
				Flags: []cli.Flag{&cli.StringFlag{
					Name: "internal", Required: true, Usage: "internal `ADDRESS` of any entry host, IP:port", Sources: cli.EnvVars("CITRONGAUGE_INTERNAL"),
				}},
				Action: explainJob,
			},
			{Name: "pending", Usage: "show the number of jobs in the queue that have not started", Flags: jobFlags(), Action: showPending},
		},
	}
}

func jobFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Required: true, Usage: "`ADDRESS` of an entry host, IP:port", Sources: cli.EnvVars("CITRONGAUGE_ENTRY")},
		&cli.StringFlag{Name: "queue-host", Required: true, Usage: "`HOST` of the queue", Sources: cli.EnvVars("CITRONGAUGE_QUEUE_HOST")},
		&cli.StringFlag{Name: "prefix", Required: true, Usage: "path `PREFIX` of the queue", Sources: cli.EnvVars("CITRONGAUGE_QUEUE_PREFIX")},
		&cli.StringFlag{Name: "key", Usage: "team `KEY`; open queues need none", Sources: cli.EnvVars("CITRONGAUGE_TEAM_KEY")},
	}
}

func submitJob(ctx context.Context, command *cli.Command) error {
	var body []byte
	var err error
	if path := command.String("file"); path == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(path)
	}
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	id := command.String("id")
	if id == "" {
		var random [8]byte
		if _, err := rand.Read(random[:]); err != nil {
			return errors.Wrap(err, "generate job ID")
		}
		id = hex.EncodeToString(random[:])
	}
	response, err := sendJobRequest(ctx, command, http.MethodPost, id, body)
	if err != nil {
		return errors.Wrapf(err, "submit job %s", id)
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s %s\n", id, response)
	return err
}

func jobAction(method string) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Len() != 1 {
			return usageError{"expected one job ID"}
		}
		return printJobResponse(ctx, command, method, command.Args().First())
	}
}

func showPending(ctx context.Context, command *cli.Command) error {
	return printJobResponse(ctx, command, http.MethodGet, "")
}

func printJobResponse(ctx context.Context, command *cli.Command, method, id string) error {
	response, err := sendJobRequest(ctx, command, method, id, nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.Root().Writer, response)
	return err
}

// explainJob sends the request to the given entry host, which forwards it to the owner of the fleet.
func explainJob(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return usageError{"expected one job ID"}
	}
	ctx, cancel := context.WithTimeout(ctx, jobRequestTimeout)
	defer cancel()
	url := "http://" + command.String("internal") + "/explain/" + command.Args().First()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := doJobRequest(request)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, []byte(response), "", "  "); err != nil {
		return errors.Wrap(err, "answer")
	}
	_, err = fmt.Fprintln(command.Root().Writer, strings.TrimSpace(pretty.String()))
	return err
}

// sendJobRequest sends a request for a job, or for the whole queue if id is empty, and returns the response body.
func sendJobRequest(ctx context.Context, command *cli.Command, method, id string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobRequestTimeout)
	defer cancel()
	url := "http://" + command.String("entry") + command.String("prefix") + id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Host = command.String("queue-host")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(jobRequestTimeout.Milliseconds(), 10))
	if key := command.String("key"); key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	return doJobRequest(request)
}

// doJobRequest sends a request and returns the response body. Any status other than 200 is an error.
func doJobRequest(request *http.Request) (string, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, so a close error loses nothing
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d: %s", response.StatusCode, data)
	}
	return string(data), nil
}
