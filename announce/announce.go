// Package announce tells the owner of the fleet at once about jobs that this host has accepted or cancelled, over
// WebSocket with CBOR. It saves the delay of a watch, and a watch that hears nothing for a time. It is best effort: the
// store holds the truth, and the owner's watch brings what was not announced.
package announce

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/job"
)

// Path is where the owner accepts announcements.
const Path = "/announce"

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 300 * time.Millisecond
	redialPause  = 200 * time.Millisecond
	// buffer bounds the announcements that wait; more are dropped.
	buffer = 256
	// maxFrame bounds a frame; a job is at most as large as a client's body.
	maxFrame = 1 << 20
)

// Message is one announcement.
type Message struct {
	Job       *job.Job `cbor:"1,keyasint,omitempty"` // accepted
	Created   uint64   `cbor:"2,keyasint,omitempty"` // revision of its record
	Cancelled job.ID   `cbor:"3,keyasint,omitempty"`
	// FitterHost is a host that asks for the ownership, since it is larger than the owner.
	FitterHost string `cbor:"4,keyasint,omitempty"`
}

var (
	encoding = codec.Encoder()
	decoding = codec.Decoder(codec.Limits{Levels: 16, Elements: job.MaxTasks, Pairs: 1024})
)

// Sender sends to whoever owns the fleet. It is safe for concurrent use.
type Sender struct {
	owner    func() string // address of the owner, or an empty text
	messages chan Message
	log      func(event string, fields ...any)
	dropped  atomic.Uint64
}

// NewSender returns a sender. owner returns the owner's address at any time.
func NewSender(owner func() string, log func(event string, fields ...any)) *Sender {
	return &Sender{owner: owner, messages: make(chan Message, buffer), log: log}
}

// Send queues a message. It never blocks.
func (s *Sender) Send(message Message) {
	select {
	case s.messages <- message:
	default:
		s.dropped.Add(1)
	}
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var connection *websocket.Conn
	connected := ""
	var dialAgain time.Time
	for {
		var message Message
		select {
		case <-ctx.Done():
			closeNow(connection)
			return
		case message = <-s.messages:
		}
		address := s.owner()
		if connection != nil && address != connected {
			closeNow(connection)
			connection = nil
		}
		if connection == nil && address != "" && time.Now().After(dialAgain) {
			connection = s.dial(ctx, address)
			connected = address
			dialAgain = time.Now().Add(redialPause)
		}
		if connection != nil && !s.write(ctx, connection, message) {
			closeNow(connection)
			connection = nil
		}
	}
}

func closeNow(connection *websocket.Conn) {
	if connection != nil {
		_ = connection.CloseNow() // its error says only that it was closed before
	}
}

func (s *Sender) dial(ctx context.Context, address string) *websocket.Conn {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, response, err := websocket.Dial(ctx, "ws://"+address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close() // the handshake's body is empty
	}
	if err != nil {
		s.log("owner not reached", "address", address, "error", err.Error(), "dropped", s.dropped.Load())
		return nil
	}
	return connection
}

func (s *Sender) write(ctx context.Context, connection *websocket.Conn, message Message) bool {
	data, err := encoding.Marshal(message)
	if err != nil {
		s.log("announcement not encoded", "error", err.Error())
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := connection.Write(ctx, websocket.MessageBinary, data); err != nil {
		s.log("announcement not sent", "error", err.Error())
		return false
	}
	return true
}

// Handler receives announcements and passes them on. It ends a connection while receive returns false: this host does
// not own the fleet.
func Handler(receive func(Message) bool, log func(event string, fields ...any)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		connection, err := websocket.Accept(w, request, nil)
		if err != nil {
			log("announcements refused", "error", err.Error())
			return
		}
		defer closeNow(connection)
		connection.SetReadLimit(maxFrame)
		for {
			_, data, err := connection.Read(request.Context())
			if err != nil {
				return // the sender has closed, or its host is gone
			}
			message, err := decode(data)
			if err != nil {
				log("unreadable announcement", "error", err.Error(), "bytes", len(data))
				return
			}
			if !receive(message) {
				return
			}
		}
	})
}

// decode reads a message and checks the job in it.
func decode(data []byte) (Message, error) {
	var message Message
	if err := decoding.Unmarshal(data, &message); err != nil {
		return Message{}, errors.Wrap(err, "announcement")
	}
	if message.Job == nil {
		return message, nil
	}
	if _, err := job.ParseID(string(message.Job.ID)); err != nil {
		return Message{}, err
	}
	return message, message.Job.Check()
}
