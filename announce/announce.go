// Package announce sends the owner of the fleet a message about each job that this host has accepted or cancelled, as
// CBOR over WebSocket. The owner then learns of it without the delay of its watch on the store, and even while that
// watch fails. Delivery is best effort: the store is authoritative, and the watch delivers what was not announced. The owner
// can ask a host from which it has received messages to give up an ownership that has ended.
package announce

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/job"
)

// Path is where the owner accepts announcements.
const Path = "/announce"

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 300 * time.Millisecond
	redialDelay  = 200 * time.Millisecond
	// connectInterval is how often a host without messages looks for an owner that it is not connected to.
	connectInterval = 500 * time.Millisecond
	// sendBuffer is the number of messages that Send queues before it drops further ones.
	sendBuffer = 256
	// maxFrameBytes bounds the size of a received message. A job is no larger than the request body that submitted it.
	maxFrameBytes = 1 << 20
	// messageTimeout bounds the time from the beginning of a message to its end. A sender gives up after writeTimeout.
	messageTimeout = 5 * time.Second
)

// Message is one announcement.
type Message struct {
	Job       *job.Job `cbor:"1,keyasint,omitempty"` // accepted job
	Created   uint64   `cbor:"2,keyasint,omitempty"` // revision at which the job was stored
	Cancelled job.ID   `cbor:"3,keyasint,omitempty"`
	// HandoverTo is a host that requests the ownership because it has more capacity than the owner's host.
	HandoverTo string `cbor:"4,keyasint,omitempty"`
}

// release is the message that the owner sends to a host.
type release struct {
	Generation uint64 `cbor:"1,keyasint"` // of the ownership that is to be given up
}

// maxReleaseBytes bounds the size of a received release.
const maxReleaseBytes = 64

// Peer is a connected host that sends announcements.
type Peer struct {
	// Identity is what the host has stated. It is empty for a host of an earlier version.
	Identity
	connection *websocket.Conn
}

// RequestRelease asks the host to give up the ownership of a generation, which must have ended. Hosts of earlier versions ignore it.
func (p *Peer) RequestRelease(ctx context.Context, generation uint64) error {
	data, err := encMode.Marshal(release{generation})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return p.connection.Write(ctx, websocket.MessageBinary, data)
}

var (
	encMode = codec.EncMode()
	decMode = codec.DecMode(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: job.MaxTasks, MaxMapPairs: 1024})
)

// Sender sends messages to the owner of the fleet. It is safe for concurrent use.
type Sender struct {
	self         Identity
	ownerAddress func() string // address of the owner, or "" if unknown
	// giveUp gives up the ownership of a generation for the owner.
	giveUp  func(ctx context.Context, generation uint64)
	queue   chan Message
	log     func(event string, fields ...any)
	dropped atomic.Uint64
}

// NewSender returns a sender of the host self. It calls ownerAddress before each message; "" means that the owner is unknown. It calls giveUp when the
// owner asks this host to give up the ownership of a generation.
func NewSender(self Identity, ownerAddress func() string, giveUp func(ctx context.Context, generation uint64), log func(event string, fields ...any)) *Sender {
	return &Sender{self: self, ownerAddress: ownerAddress, giveUp: giveUp, queue: make(chan Message, sendBuffer), log: log}
}

// Send queues a message, or drops it if the queue is full. It never blocks.
func (s *Sender) Send(message Message) {
	select {
	case s.queue <- message:
	default:
		s.dropped.Add(1)
	}
}

// Run sends queued messages until ctx ends. It drops messages while the owner is unknown or cannot be reached. It stays connected to
// the owner also without messages, so that the owner knows of this host.
func (s *Sender) Run(ctx context.Context) {
	link := link{sender: s, lost: make(chan *websocket.Conn, 1)}
	defer func() { closeNow(link.connection) }()
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case connection := <-link.lost:
			if connection == link.connection {
				link.connection = nil
			}
		case message := <-s.queue:
			link.connect(ctx)
			if link.connection != nil && !s.write(ctx, link.connection, message) {
				closeNow(link.connection)
				link.connection = nil
			}
		case <-ticker.C:
			link.connect(ctx)
		}
	}
}

// link is the connection of a Sender to the owner.
type link struct {
	sender      *Sender
	connection  *websocket.Conn // nil: there is none
	connectedTo string
	nextDial    time.Time
	lost        chan *websocket.Conn
}

// connect connects to the owner if it is known, is another host and there is no connection to it.
func (l *link) connect(ctx context.Context) {
	address := l.sender.ownerAddress()
	if l.connection != nil && address != l.connectedTo {
		closeNow(l.connection)
		l.connection = nil
	}
	if l.connection != nil || address == "" || address == l.sender.self.Address || time.Now().Before(l.nextDial) {
		return
	}
	connection := l.sender.dial(ctx, address)
	l.connectedTo, l.nextDial, l.connection = address, time.Now().Add(redialDelay), connection
	if connection != nil {
		go func() {
			l.sender.receive(ctx, connection)
			select {
			case l.lost <- connection:
			case <-ctx.Done():
			}
		}()
	}
}

func closeNow(connection *websocket.Conn) {
	if connection != nil {
		_ = connection.CloseNow() // fails only if the connection is already closed
	}
}

func (s *Sender) dial(ctx context.Context, address string) *websocket.Conn {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPHeader: s.self.header()})
	if response != nil && response.Body != nil {
		_ = response.Body.Close() // a handshake's response has no body worth reading
	}
	if err != nil {
		s.log("connecting to the owner failed", "address", address, "error", err.Error(), "dropped", s.dropped.Load())
		return nil
	}
	return connection
}

// receive handles what the owner sends until the connection ends.
func (s *Sender) receive(ctx context.Context, connection *websocket.Conn) {
	connection.SetReadLimit(maxReleaseBytes)
	for {
		_, data, err := connection.Read(ctx)
		if err != nil {
			return // the connection was closed or lost
		}
		var request release
		if err := decMode.Unmarshal(data, &request); err != nil {
			s.log("unreadable message of the owner", "error", err.Error(), "bytes", len(data))
			closeNow(connection)
			return
		}
		s.giveUp(ctx, request.Generation)
	}
}

func (s *Sender) write(ctx context.Context, connection *websocket.Conn, message Message) bool {
	data, err := encMode.Marshal(message)
	if err != nil {
		s.log("encoding an announcement failed", "error", err.Error())
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := connection.Write(ctx, websocket.MessageBinary, data); err != nil {
		s.log("sending an announcement failed", "error", err.Error())
		return false
	}
	return true
}

// Handler accepts connections from Senders and passes each message to receive, with the host that sent it. It closes a connection when receive
// returns false, which means that this host does not own the fleet. The hosts are among peers while they are connected.
func Handler(peers *Peers, receive func(Message, *Peer) bool, log func(event string, fields ...any)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		connection, err := websocket.Accept(w, request, nil)
		if err != nil {
			log("accepting an announcement connection failed", "error", err.Error())
			return
		}
		defer closeNow(connection)
		connection.SetReadLimit(maxFrameBytes)
		peer := &Peer{Identity: identityOf(request.Header), connection: connection}
		peers.add(peer)
		defer peers.remove(peer, time.Now())
		for {
			data, err := readMessage(connection, request)
			if err != nil {
				return // the connection was closed or lost, or there is no room for the message
			}
			message, err := decodeMessage(data)
			intake.ReleaseMessage(request)
			if err != nil {
				log("unreadable announcement", "error", err.Error(), "bytes", len(data))
				return
			}
			if !receive(message, peer) {
				return
			}
		}
	})
}

// readMessage waits for the next message and reads it within messageTimeout, after which it closes the connection.
func readMessage(connection *websocket.Conn, request *http.Request) ([]byte, error) {
	_, reader, err := connection.Reader(request.Context())
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(messageTimeout, func() { closeNow(connection) })
	defer timer.Stop()
	return intake.ReadMessage(request, reader, maxFrameBytes)
}

// decodeMessage decodes a message and checks its job, if it has one.
func decodeMessage(data []byte) (Message, error) {
	var message Message
	if err := decMode.Unmarshal(data, &message); err != nil {
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
