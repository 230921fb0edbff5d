package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

const (
	// taskTimeoutMargin is added to the deadline of a task to get the timeout of the HTTP client, so that the answer
	// arrives before the client gives up.
	taskTimeoutMargin = 5 * time.Second
	// maxResponseBytes limits the part of a response body that is read.
	maxResponseBytes = 16 << 20
)

// taskRequest is the JSON body of a task submission.
type taskRequest struct {
	Payload      []byte `json:"payload"`
	Idempotent   bool   `json:"idempotent,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Slots        int    `json:"slots"`
	CPUs         int    `json:"cpus,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	RunMS        int64  `json:"run_ms,omitempty"`
	DeadlineMS   int64  `json:"deadline_ms"`
	Urgent       bool   `json:"urgent,omitempty"`
}

func taskCommand() *cli.Command {
	return &cli.Command{
		Name: "task", Usage: "send requests as a caller",
		Commands: []*cli.Command{{
			Name: "run", Usage: "run one task and show the answer, where it ran and the time of each step",
			Description: "The task is sent to the first entry host that accepts a connection, and to that one only.",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "queue", Required: true, Usage: "`NAME` of the queue"},
				&cli.StringFlag{Name: "key", Usage: "team `KEY`; open queues need none", Sources: cli.EnvVars("CITRONGAUGE_TEAM_KEY")},
				&cli.StringFlag{Name: "payload", Usage: "`TEXT` of the payload"},
				&cli.StringFlag{Name: "payload-file", Usage: "`FILE` with the payload"},
				&cli.BoolFlag{Name: "idempotent", Usage: "the task may be retried on another upstream"},
				&cli.StringFlag{Name: "request-id", Usage: "request `ID`; a repeat with the same ID is safe"},
				&cli.IntFlag{Name: "slots", Value: 1, Usage: "`COUNT` of slots"},
				&cli.IntFlag{Name: "cpus", Usage: "`COUNT` of processors"},
				&cli.IntFlag{Name: "memory-mb", Usage: "memory in `MB`"},
				&cli.IntFlag{Name: "accelerators", Usage: "`COUNT` of accelerators"},
				&cli.DurationFlag{Name: "run-time", Usage: "declared run `TIME`"},
				&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "`TIME` until the answer is needed"},
				&cli.BoolFlag{Name: "urgent", Usage: "run before the team's other tasks, within the team's share"},
			},
			Action: action(runTask),
		}},
	}
}

func runTask(ctx context.Context, cmd *cli.Command, p *printer) error {
	body, err := taskBody(cmd)
	if err != nil {
		return err
	}
	answer, err := submitTask(ctx, cmd, body)
	if err != nil {
		return err
	}
	p.printAnswer(answer)
	if err := p.printJSON(answer); err != nil {
		return err
	}
	if answer.Code != result.OK {
		return result.Errorf(answer.Code, "%s", answer.Message)
	}
	return nil
}

func taskBody(cmd *cli.Command) ([]byte, error) {
	payload := []byte(cmd.String("payload"))
	if file := cmd.String("payload-file"); file != "" {
		var err error
		if payload, err = os.ReadFile(file); err != nil {
			return nil, errors.Wrap(err, "read payload file")
		}
	}
	body, err := json.Marshal(taskRequest{
		Payload: payload, Idempotent: cmd.Bool("idempotent"), RequestID: cmd.String("request-id"),
		Slots: cmd.Int("slots"), CPUs: cmd.Int("cpus"), MemoryMB: cmd.Int("memory-mb"), Accelerators: cmd.Int("accelerators"),
		RunMS: cmd.Duration("run-time").Milliseconds(), DeadlineMS: cmd.Duration("deadline").Milliseconds(), Urgent: cmd.Bool("urgent"),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return body, nil
}

// submitTask sends the task to the first entry host that accepts a connection. The task is not sent to another host
// afterwards, because it may already have been run.
func submitTask(ctx context.Context, cmd *cli.Command, body []byte) (api.Answer, error) {
	hosts := cmd.StringSlice(flagHost)
	if len(hosts) == 0 {
		return api.Answer{}, usageError{"no entry host given; see --host"}
	}
	client := &http.Client{
		Transport:     &http.Transport{Proxy: nil},
		Timeout:       cmd.Duration("deadline") + taskTimeoutMargin,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	var lastErr error
	for _, host := range hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return api.Answer{}, usageError{fmt.Sprintf("entry host %q must have the form IP:port", host)}
		}
		address := "http://" + host + "/v1/queues/" + url.PathEscape(cmd.String("queue")) + "/tasks"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return api.Answer{}, errors.Wrap(err, "create request")
		}
		request.Header.Set("Content-Type", "application/json")
		if key := cmd.String("key"); key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		answer, err := postTask(client, request)
		if err == nil || !isDialError(err) {
			return answer, err
		}
		lastErr = err
	}
	return api.Answer{}, lastErr
}

// isDialError reports whether the connection could not be established, so that nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func postTask(client *http.Client, request *http.Request) (api.Answer, error) {
	response, err := client.Do(request)
	if err != nil {
		return api.Answer{}, errors.Wrap(err, "send the task; it may have been run unless no connection was established")
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	var answer api.Answer
	if err := decoder.Decode(&answer); err != nil {
		return api.Answer{}, errors.Wrapf(err, "decode the answer with HTTP status %d; the task may have been run", response.StatusCode)
	}
	return answer, nil
}

// printAnswer prints an answer, with the time of each step.
func (p *printer) printAnswer(a api.Answer) {
	p.printLine("code        %d %s", a.Code, a.Message)
	p.printLine("run         %s", a.Run)
	p.printLine("retry       %s", a.Retry)
	if a.RetryAfterMS > 0 {
		p.printLine("retry after %d ms", a.RetryAfterMS)
	}
	p.printLine("request ID  %s", a.RequestID)
	p.printLine("entry host  %s", a.Host)
	if a.Upstream != "" {
		p.printLine("upstream    %s in %s", a.Upstream, a.Zone)
	}
	if len(a.Output) > 0 {
		p.printLine("output      %q", a.Output)
	}
	p.printLine("steps       queue %s, reserve %s, start %s, run %s", microseconds(a.Steps.QueueUS),
		microseconds(a.Steps.ReserveUS), microseconds(a.Steps.StartUS), microseconds(a.Steps.RunUS))
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
