package capacity

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/bundle"
)

const (
	// warmUp is the time for which the load runs before it is measured, so that grants have settled.
	warmUp         = 4 * time.Second
	requestTimeout = 15 * time.Second
	requestPayload = 256
	maxAnswerBytes = 1 << 20
	// unanswered is the result code in the report of requests without an answer.
	unanswered = "none"
	// progressDelay is the number of versions after which a version's time to acceptance is asked for.
	progressDelay = 3
)

// SampleRollouts measures a window in which a new version is rolled out after every interval.
func (s *Sampler) SampleRollouts(ctx context.Context, operator string, key ed25519.PrivateKey, every time.Duration) (*Window, error) {
	r, err := s.newRoller(ctx, operator, key)
	if err != nil {
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return r.run(loadCtx, every) })
	var w *Window
	group.Go(func() error {
		defer stop()
		before := r.b.Version
		var err error
		w, err = s.Sample(ctx)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		w.Phase, w.Rate = Rollouts, 1/every.Seconds()
		w.Rollouts, w.RolloutMS, w.ConfirmedMS = int(r.committed-before), r.times, r.confirmed
		return nil
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, h := range s.Hosts {
		w.Hosts[i].TakesRollouts = h.Listen == r.host
	}
	return w, nil
}

// roller rolls out one version after another.
type roller struct {
	admin    *admin.Client
	host     string
	operator string
	key      ed25519.PrivateKey
	b        *bundle.Bundle
	first    uint64 // version in force at the start

	mu        sync.Mutex
	committed uint64
	times     []int64
	confirmed []int64
}

func (s *Sampler) newRoller(ctx context.Context, operator string, key ed25519.PrivateKey) (*roller, error) {
	host := s.Hosts[len(s.Hosts)-1].Listen
	client, err := admin.NewClient([]string{host}, operator, key)
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	signed, err := client.Bundle(ctx, 0)
	if err != nil {
		return nil, errors.Wrap(err, "read the bundle")
	}
	b, err := bundle.VerifySigned(signed, map[string]ed25519.PublicKey{operator: key.Public().(ed25519.PublicKey)})
	if err != nil {
		return nil, errors.Wrap(err, "verify the bundle")
	}
	return &roller{admin: client, host: host, operator: operator, key: key, b: b, first: b.Version, committed: b.Version}, nil
}

func (r *roller) run(ctx context.Context, every time.Duration) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		NextVersion(r.b)
		if _, err := r.admin.Rollout(ctx, bundle.Sign(r.b, r.key, r.operator), r.b); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "roll out version %d", r.b.Version)
		}
		if r.b.Version <= r.first+progressDelay {
			r.note(admin.RolloutReport{AcceptedMS: -1, ConfirmedMS: -1})
			continue
		}
		report, err := r.admin.RolloutProgress(ctx, r.b.Version-progressDelay)
		if err != nil {
			report.AcceptedMS, report.ConfirmedMS = -1, -1
		}
		r.note(report)
	}
}

// note counts a roll-out and keeps the times of an earlier one. They are negative if a later version was confirmed or
// accepted instead.
func (r *roller) note(report admin.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.committed = r.b.Version
	if report.AcceptedMS >= 0 {
		r.times = append(r.times, report.AcceptedMS)
	}
	if report.ConfirmedMS >= 0 {
		r.confirmed = append(r.confirmed, report.ConfirmedMS)
	}
}

// SampleRequests measures a window with the given rate of requests, spread over all entry hosts, each of which runs for
// the given time.
func (s *Sampler) SampleRequests(ctx context.Context, keys map[string]string, rate float64, run time.Duration) (*Window, error) {
	l := &loader{hosts: s.Hosts, rate: rate, runMS: run.Milliseconds(), queues: s.Size.Pools - 1, answers: make(map[string]int)}
	for _, key := range keys {
		l.keys = append(l.keys, key)
	}
	l.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}
	defer l.client.CloseIdleConnections()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); l.run(loadCtx) }()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(warmUp + run):
	}
	w, err := s.Sample(ctx)
	stop()
	<-done
	if err != nil {
		return nil, err
	}
	w.Phase, w.Rate, w.RunMS, w.Answers = Requests, rate, l.runMS, l.answers
	return w, nil
}

// loader sends requests at a constant rate, whether or not earlier ones were answered.
type loader struct {
	hosts  []Host
	keys   []string
	queues int
	rate   float64
	runMS  int64
	client *http.Client

	mu      sync.Mutex
	answers map[string]int
}

func (l *loader) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		host := l.hosts[n%len(l.hosts)]
		wg.Go(func() {
			code := l.send(host, n%2 == 0)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers[code]++
		})
	}
}

// send sends one request and returns its result code. Running requests end after the load was stopped.
func (l *loader) send(h Host, idempotent bool) string {
	body, err := json.Marshal(api.Submission{
		Payload: make([]byte, requestPayload), Idempotent: idempotent, Slots: 1, RunMS: l.runMS,
		DeadlineMS: requestTimeout.Milliseconds(),
	})
	if err != nil {
		return unanswered
	}
	queue := "queue-" + strconv.Itoa(rand.IntN(l.queues)+1)
	request, err := http.NewRequest(http.MethodPost, "http://"+h.Listen+"/v1/queues/"+queue+"/tasks", bytes.NewReader(body))
	if err != nil {
		return unanswered
	}
	request.Header.Set("Authorization", "Bearer "+l.keys[rand.IntN(len(l.keys))])
	request.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		return unanswered
	}
	defer func() { _ = response.Body.Close() }()
	var answer api.Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return unanswered
	}
	return strconv.Itoa(int(answer.Code))
}
