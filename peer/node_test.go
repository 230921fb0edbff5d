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

type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

// echoHandler returns the text of a call, after the caller's address, and passes the sender and text of one-way
// messages to a channel.
type echoHandler struct{ received chan string }

func (e echoHandler) HandleMessage(from Identity, _ Type, body []byte) {
	var t textMessage
	if Decode(body, &t) == nil {
		e.received <- from.ID + ":" + t.Text
	}
}

func (e echoHandler) HandleCall(ctx context.Context, from Identity, _ Type, body []byte) (any, error) {
	var t textMessage
	if err := Decode(body, &t); err != nil {
		return nil, err
	}
	if t.Text == "never" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return textMessage{from.Address + " " + t.Text}, nil
}

func startNode(t *testing.T, id, secret string) (*Node, string, echoHandler) {
	ctx, cancel := context.WithCancel(context.Background())
	handler := echoHandler{received: make(chan string, 100)}
	node := New(ctx, Options{
		Identity: func() Identity { return Identity{ID: id, Zone: "z", Address: "address of " + id} },
		Secret:   []byte(secret), Handler: handler, Log: log.New(io.Discard),
	})
	server := httptest.NewServer(node)
	t.Cleanup(func() { cancel(); server.Close() })
	return node, strings.TrimPrefix(server.URL, "http://"), handler
}

// A call must return the response that belongs to it, and a one-way message must be delivered with the ID of its
// sender.
func TestCallAndSend(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, handlerB := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply textMessage
	is.NoErr(a.Call(ctx, addressB, "b", TypeForward, textMessage{"hello"}, &reply))
	is.Equal(reply.Text, "address of a hello")
	a.Send(addressB, "b", TypeHeartbeat, textMessage{"beat"})
	is.Equal(<-handlerB.received, "a:beat")
}

// A call to a host must not be delivered to another host that has replaced it at the same address.
func TestCallRejectsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b2", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := a.Call(ctx, addressB, "b1", TypeForward, textMessage{"hello"}, &textMessage{})
	is.True(errors.Is(err, ErrUnreachable))
}

// A peer that does not know the fleet's secret must be rejected.
func TestHandshakeRequiresSecret(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "wrong")
	_, addressB, handlerB := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := a.Call(ctx, addressB, "b", TypeForward, textMessage{"hello"}, &textMessage{})
	is.True(errors.Is(err, ErrUnreachable))
	is.Equal(len(handlerB.received), 0)
}

// A call to a peer that does not respond must end with its context.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, addressB, "b", TypeForward, textMessage{"never"}, &textMessage{})
	is.True(errors.Is(err, ErrUnreachable))
}

// The proofs of the two roles must differ, since equal proofs would allow an attacker to reflect a proof to its sender.
func TestProofsDifferByRole(t *testing.T) {
	is := is.New(t)
	a := hello{Identity: Identity{ID: "a"}, Nonce: make([]byte, nonceBytes)}
	first := mac([]byte("s"), roleDialer, a, a)
	second := mac([]byte("s"), roleAcceptor, a, a)
	is.True(string(first) != string(second))
}

// FuzzDecodeMessage checks that no input causes a panic, that a message of another protocol version is rejected and
// that every error has a result code.
func FuzzDecodeMessage(f *testing.F) {
	valid, _ := encodeMessage(TypeHeartbeat, 1, textMessage{"x"})
	f.Add(valid)
	f.Add([]byte{0xa4, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err == nil && m.Version != ProtocolVersion {
			t.Fatal("message of another version accepted")
		}
		var resultErr *result.Error
		if err != nil && !errors.As(err, &resultErr) {
			t.Fatalf("error without a result code: %v", err)
		}
	})
}
