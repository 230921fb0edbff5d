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
	// taskMargin is added to the deadline of a task, so that its answer arrives before the call is given up.
	taskMargin = 5 * time.Second
	// maxTaskAnswer is the size of the largest answer that is read.
	maxTaskAnswer = 16 << 20
)

// taskRequest is the body of a submission.
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
				&cli.BoolFlag{Name: "idempotent", Usage: "the task may be tried again on another upstream"},
				&cli.StringFlag{Name: "request-id", Usage: "`ID` for a safe repeat"},
				&cli.IntFlag{Name: "slots", Value: 1, Usage: "`COUNT` of slots"},
				&cli.IntFlag{Name: "cpus", Usage: "`COUNT` of processors"},
				&cli.IntFlag{Name: "memory-mb", Usage: "memory in `MB`"},
				&cli.IntFlag{Name: "accelerators", Usage: "`COUNT` of accelerators"},
				&cli.DurationFlag{Name: "run-time", Usage: "declared run `TIME`"},
				&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "`TIME` until the answer is needed"},
				&cli.BoolFlag{Name: "urgent", Usage: "go first within the team's share"},
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
	answer, err := submit(ctx, cmd, body)
	if err != nil {
		return err
	}
	p.printAnswer(answer)
	if err := p.object(answer); err != nil {
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
			return nil, errors.Wrap(err, "read the payload")
		}
	}
	body, err := json.Marshal(taskRequest{
		Payload: payload, Idempotent: cmd.Bool("idempotent"), RequestID: cmd.String("request-id"),
		Slots: cmd.Int("slots"), CPUs: cmd.Int("cpus"), MemoryMB: cmd.Int("memory-mb"), Accelerators: cmd.Int("accelerators"),
		RunMS: cmd.Duration("run-time").Milliseconds(), DeadlineMS: cmd.Duration("deadline").Milliseconds(), Urgent: cmd.Bool("urgent"),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	return body, nil
}

// submit sends the task to the first entry host that accepts a connection. After that it is not sent again: the
// task may have been run.
func submit(ctx context.Context, cmd *cli.Command, body []byte) (api.Answer, error) {
	hosts := cmd.StringSlice(flagHost)
	if len(hosts) == 0 {
		return api.Answer{}, usageError{"no entry host given; see --host"}
	}
	client := &http.Client{
		Transport:     &http.Transport{Proxy: nil},
		Timeout:       cmd.Duration("deadline") + taskMargin,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	var last error
	for _, host := range hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return api.Answer{}, usageError{fmt.Sprintf("entry host %q is not IP:port", host)}
		}
		address := "http://" + host + "/v1/queues/" + url.PathEscape(cmd.String("queue")) + "/tasks"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return api.Answer{}, errors.Wrap(err, "make the request")
		}
		request.Header.Set("Content-Type", "application/json")
		if key := cmd.String("key"); key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		answer, err := post(client, request)
		if err == nil || !isDialError(err) {
			return answer, err
		}
		last = err
	}
	return api.Answer{}, last
}

// isDialError states whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func post(client *http.Client, request *http.Request) (api.Answer, error) {
	response, err := client.Do(request)
	if err != nil {
		return api.Answer{}, errors.Wrap(err, "send the task; unless no connection was made it may have been run")
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxTaskAnswer))
	var answer api.Answer
	if err := decoder.Decode(&answer); err != nil {
		return api.Answer{}, errors.Wrapf(err, "HTTP status %d, the answer could not be read; the task may have been run", response.StatusCode)
	}
	return answer, nil
}

// printAnswer prints an answer, with the time of each step.
func (p *printer) printAnswer(a api.Answer) {
	p.line("code        %d %s", a.Code, a.Message)
	p.line("run         %s", a.Run)
	p.line("retry       %s", a.Retry)
	if a.RetryAfterMS > 0 {
		p.line("retry after %d ms", a.RetryAfterMS)
	}
	p.line("request ID  %s", a.RequestID)
	p.line("entry host  %s", a.Host)
	if a.Upstream != "" {
		p.line("upstream    %s in %s", a.Upstream, a.Zone)
	}
	if len(a.Output) > 0 {
		p.line("output      %q", a.Output)
	}
	p.line("steps       queue %s, reserve %s, start %s, run %s", microseconds(a.Steps.QueueUS),
		microseconds(a.Steps.ReserveUS), microseconds(a.Steps.StartUS), microseconds(a.Steps.RunUS))
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
