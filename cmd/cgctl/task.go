package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sort"
	"time"

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
	code, _ := answer["code"].(json.Number)
	if number, _ := code.Int64(); number != int64(result.OK) {
		return result.Errorf(result.Code(number), "%v", answer["message"])
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
func submit(ctx context.Context, cmd *cli.Command, body []byte) (map[string]any, error) {
	hosts := cmd.StringSlice(flagHost)
	if len(hosts) == 0 {
		return nil, usageError{"no entry host given; see --host"}
	}
	client := &http.Client{
		Transport:     &http.Transport{Proxy: nil},
		Timeout:       cmd.Duration("deadline") + taskMargin,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	var last error
	for _, host := range hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return nil, usageError{fmt.Sprintf("entry host %q is not IP:port", host)}
		}
		address := "http://" + host + "/v1/queues/" + url.PathEscape(cmd.String("queue")) + "/tasks"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return nil, errors.Wrap(err, "make the request")
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
	return nil, last
}

// isDialError states whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func post(client *http.Client, request *http.Request) (map[string]any, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the task; unless no connection was made it may have been run")
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxTaskAnswer))
	decoder.UseNumber()
	var answer map[string]any
	if err := decoder.Decode(&answer); err != nil {
		return nil, errors.Wrapf(err, "HTTP status %d, the answer could not be read; the task may have been run", response.StatusCode)
	}
	return answer, nil
}

// printAnswer prints all fields of an answer. The fields that say what happened come first.
func (p *printer) printAnswer(answer map[string]any) {
	shown := map[string]bool{}
	for _, name := range []string{"code", "message", "run", "request_id", "host", "zone", "upstream"} {
		if value, ok := answer[name]; ok {
			p.line("%-14s %v", name, value)
			shown[name] = true
		}
	}
	var rest []string
	for name := range answer {
		if !shown[name] {
			rest = append(rest, name)
		}
	}
	sort.Strings(rest)
	for _, name := range rest {
		p.line("%-14s %s", name, answerText(name, answer[name]))
	}
}

// answerText returns a value in one line; the task's answer is decoded.
func answerText(name string, value any) string {
	if text, ok := value.(string); ok {
		if decoded, err := base64.StdEncoding.DecodeString(text); err == nil && (name == "answer" || name == "payload") {
			return fmt.Sprintf("%q", decoded)
		}
		return text
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
