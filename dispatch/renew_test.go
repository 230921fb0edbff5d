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

// Guards against a host that was cut off and evicted, and that keeps its tasks alive at the upstreams after its grant
// has returned to the fleet: the team would exceed its cap.
func TestNoRenewalWithoutPermission(t *testing.T) {
	is := is.New(t)
	client := &renewCounter{}
	permitted := false
	r := &run{Runner: NewRunner(Config{
		Client:   func(string, string) upstream.Client { return client },
		MayRenew: func() bool { return permitted },
	})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer := r.ask(ctx, Call{Kind: CallRenew, AttemptID: "a"})
	is.True(errors.Is(answer.Err, upstream.ErrUnreachable)) // the machine counts the lease as not renewed
	is.Equal(client.renewals, 0)
	permitted = true
	is.NoErr(r.ask(ctx, Call{Kind: CallRenew, AttemptID: "a"}).Err)
	is.Equal(client.renewals, 1)
}
