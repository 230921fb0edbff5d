package peer

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/result"
)

type text struct {
	Text string `cbor:"1,keyasint"`
}

// echo answers calls with their own text and keeps one-way messages.
type echo struct{ received chan string }

func (e echo) Receive(from Identity, _ Type, body []byte) {
	var t text
	if Decode(body, &t) == nil {
		e.received <- from.ID + ":" + t.Text
	}
}

func (e echo) Answer(ctx context.Context, from Identity, _ Type, body []byte) (any, error) {
	var t text
	if err := Decode(body, &t); err != nil {
		return nil, err
	}
	if t.Text == "never" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return text{from.Address + " " + t.Text}, nil
}

func startNode(t *testing.T, id, secret string) (*Node, string, echo) {
	ctx, cancel := context.WithCancel(context.Background())
	handler := echo{received: make(chan string, 100)}
	node := New(ctx, Options{
		Identity: func() Identity { return Identity{ID: id, Zone: "z", Address: "address of " + id} },
		Secret:   []byte(secret), Handler: handler, Log: log.New(io.Discard),
	})
	server := httptest.NewServer(node)
	t.Cleanup(func() { cancel(); server.Close() })
	return node, strings.TrimPrefix(server.URL, "http://"), handler
}

// Guards against calls whose answers are mixed up or lost, and against one-way messages without their sender.
func TestCallAndSend(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, handlerB := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply text
	is.NoErr(a.Call(ctx, addressB, "b", TypeForward, text{"hello"}, &reply))
	is.Equal(reply.Text, "address of a hello")
	a.Send(addressB, "b", TypeHeartbeat, text{"beat"})
	is.Equal(<-handlerB.received, "a:beat")
}

// Guards against messages to a host that was replaced at the same address.
func TestCallRefusesAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b2", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := a.Call(ctx, addressB, "b1", TypeForward, text{"hello"}, &text{})
	is.True(errors.Is(err, ErrUnreachable))
}

// Guards against peers that do not know the fleet's secret.
func TestHandshakeNeedsTheSecret(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "wrong")
	_, addressB, handlerB := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := a.Call(ctx, addressB, "b", TypeForward, text{"hello"}, &text{})
	is.True(errors.Is(err, ErrUnreachable))
	is.Equal(len(handlerB.received), 0)
}

// Guards against a call that waits for ever on a silent peer.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, addressB, "b", TypeForward, text{"never"}, &text{})
	is.True(errors.Is(err, ErrUnreachable))
}

// Guards against a change of the handshake that makes proofs of both sides equal, which would allow reflection.
func TestProofsDifferByRole(t *testing.T) {
	is := is.New(t)
	a := hello{Identity: Identity{ID: "a"}, Nonce: make([]byte, nonceBytes)}
	first := mac([]byte("s"), roleDialer, a, a)
	second := mac([]byte("s"), roleAcceptor, a, a)
	is.True(string(first) != string(second))
}

func FuzzDecodeMessage(f *testing.F) {
	good, _ := encodeMessage(TypeHeartbeat, 1, text{"x"})
	f.Add(good)
	f.Add([]byte{0xa4, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err == nil && m.Version != ProtocolVersion {
			t.Fatal("message of another version accepted")
		}
		var numbered *result.Error
		if err != nil && !errors.As(err, &numbered) {
			t.Fatalf("error without a code: %v", err)
		}
	})
}
