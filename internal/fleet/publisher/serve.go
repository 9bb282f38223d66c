package publisher

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

const (
	helloTimeout     = 3 * time.Second             // time limit from accepting a stream to receiving its Hello
	idleTimeout      = 2 * changefeed.DefaultLease // time without a message after which a connection is closed; the core closes the sessions of silent subscribers before
	maxGreetingBytes = 4 << 10                     // limit of the first body, the greeting
	maxRequestBytes  = 1 << 20                     // limit of each later message from a subscriber
	readBufferBytes  = 4 << 10
)

// messageReader reads the messages of one connection.
type messageReader struct {
	server   *Server
	buffered *bufio.Reader
}

// readBody reads one frame and counts its bytes.
func (r *messageReader) readBody(maxBytes int) ([]byte, error) {
	body, err := framing.Read(r.buffered, maxBytes)
	r.server.received.Add(int64(framing.HeaderSize + len(body)))
	return body, err
}

func (r *messageReader) readMessage() (changefeed.Message, error) {
	body, err := r.readBody(maxRequestBytes)
	if err != nil {
		return changefeed.Message{}, err
	}
	return changefeed.Decode(body)
}

// serve handles a subscriber's connection until it ends.
func (s *Server) serve(netConn net.Conn) error {
	defer func() { _ = netConn.Close() }() // the error that ended the connection is returned instead
	reader := &messageReader{server: s, buffered: bufio.NewReaderSize(netConn, readBufferBytes)}
	hello, err := s.readHello(netConn, reader)
	if err != nil {
		return err
	}
	c := newConn(s, netConn)
	readerClosed := make(chan struct{})
	defer close(readerClosed)
	if err := s.openSession(c, hello, readerClosed); err != nil {
		<-c.writerClosed // the reason for the rejection is sent before the connection is closed
		return err
	}
	defer s.closeSession(c)
	for {
		_ = netConn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, on which the read fails as well
		message, err := reader.readMessage()
		if err != nil {
			return err
		}
		if err := s.handleMessage(c, message); err != nil {
			return err
		}
	}
}

// readHello reads the beginning of a stream: the stream mark, the greeting and the Hello.
func (s *Server) readHello(netConn net.Conn, reader *messageReader) (changefeed.Hello, error) {
	_ = netConn.SetReadDeadline(time.Now().Add(helloTimeout)) // fails only on a closed connection, on which the read fails as well
	if _, err := reader.buffered.Discard(1); err != nil {
		return changefeed.Hello{}, fmt.Errorf("read stream mark: %w", err)
	}
	body, err := reader.readBody(maxGreetingBytes)
	if err != nil {
		return changefeed.Hello{}, fmt.Errorf("read greeting: %w", err)
	}
	var greeting framing.Greeting
	if err := framing.Decode(body, &greeting); err != nil {
		return changefeed.Hello{}, fmt.Errorf("decode greeting: %w", err)
	}
	if greeting.Fleet != s.options.Fleet {
		return changefeed.Hello{}, fmt.Errorf("greeting names another fleet, %q, from %v", greeting.Fleet, netConn.RemoteAddr())
	}
	message, err := reader.readMessage()
	if err != nil {
		return changefeed.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	if message.Hello == nil {
		return changefeed.Hello{}, fmt.Errorf("%w: the first message is not a Hello", changefeed.ErrMalformedMessage)
	}
	return *message.Hello, nil
}

// handleMessage passes a message to the core and executes the operation or the put that it contains.
func (s *Server) handleMessage(c *conn, message changefeed.Message) error {
	s.mu.Lock()
	err := s.core.Step(s.options.Now(), c.id, message)
	s.processReady()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	switch {
	case message.Operation != nil:
		var request framing.OperationRequest
		if err := framing.Decode(message.Operation.Body, &request); err != nil {
			return fmt.Errorf("decode operation of request %d: %w", message.Operation.RequestID, err)
		}
		s.submit(c, message.Operation.RequestID, request.Operation, min(request.Timeout, maxOperationTimeout))
	case message.PutRequest != nil:
		s.forwardPut(c, message.PutRequest)
	}
	return nil
}

// openSession starts the writer and opens a session. If the core rejects the subscriber, the connection is closed once the core's answer is
// sent.
func (s *Server) openSession(c *conn, hello changefeed.Hello, readerClosed <-chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		close(c.writerClosed) // the writer is not started
		return net.ErrClosed
	default:
	}
	s.lastConnID++
	c.id = s.lastConnID
	s.conns[c.id] = c
	s.goroutines.Add(1)
	go c.write(readerClosed)
	err := s.core.Connected(s.options.Now(), c.id, hello)
	s.processReady()
	if err != nil {
		c.closeAfterQueue()
		delete(s.conns, c.id)
	}
	return err
}

// closeSession ends the session of a closed connection.
func (s *Server) closeSession(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	s.core.ConnectionClosed(c.id)
	s.processReady()
}
