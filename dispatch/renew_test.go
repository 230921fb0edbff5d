package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/upstream"
)

// renewCounter counts renewals; other calls are not expected.
type renewCounter struct {
	upstream.Client
	renewals int
}

func (c *renewCounter) Renew(context.Context, []string) ([]string, error) {
	c.renewals++
	return nil, nil
}

// TestNoRenewalWithoutPermission checks that a host that was partitioned and evicted does not keep its tasks running on
// the upstreams. Its grant returns to the fleet, so the team would exceed its cap.
func TestNoRenewalWithoutPermission(t *testing.T) {
	is := is.New(t)
	client := &renewCounter{}
	permitted := false
	r := &taskRun{Runner: NewRunner(Config{
		Client:   func(string, string) upstream.Client { return client },
		MayRenew: func() bool { return permitted },
	})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	done := r.execute(ctx, Call{Kind: CallRenew, AttemptID: "a"})
	is.True(errors.Is(done.Err, upstream.ErrUnreachable)) // the state machine counts the renewal as unanswered
	is.Equal(client.renewals, 0)
	permitted = true
	is.NoErr(r.execute(ctx, Call{Kind: CallRenew, AttemptID: "a"}).Err)
	is.Equal(client.renewals, 1)
}
