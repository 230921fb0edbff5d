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

// echoHandler responds to a call with the caller's address and the text of the call, and passes the sender and text of
// one-way messages to a channel. It never responds to a call with the text "never".
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

// Guards against a call that returns another response than its own, and against a one-way message that is lost or
// delivered with the wrong sender ID.
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

// Guards against delivering a call to another incarnation than the addressed one, which was replaced at its address.
func TestCallRejectsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b2", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := a.Call(ctx, addressB, "b1", TypeForward, textMessage{"hello"}, &textMessage{})
	is.True(errors.Is(err, ErrUnreachable))
}

// Guards against accepting a peer that does not know the fleet's secret.
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

// Guards against a call that outlasts its context because the peer does not respond.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNode(t, "a", "secret")
	_, addressB, _ := startNode(t, "b", "secret")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, addressB, "b", TypeForward, textMessage{"never"}, &textMessage{})
	is.True(errors.Is(err, ErrUnreachable))
}

// Guards against equal proofs for the two roles, with which an attacker could reflect a proof to its sender.
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
