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
	helloTimeout     = 3 * time.Second
	idleTimeout      = 2 * changefeed.DefaultLease // the core closes silent sessions; this closes connections that have none
	maxGreetingBytes = 4 << 10
	maxRequestBytes  = 1 << 20
	readBufferBytes  = 4 << 10
)

// messageReader reads the messages of one connection.
type messageReader struct {
	server   *Server
	buffered *bufio.Reader
}

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
	defer func() { _ = netConn.Close() }() // the reason for its end is returned
	reader := &messageReader{server: s, buffered: bufio.NewReaderSize(netConn, readBufferBytes)}
	hello, err := s.readHello(netConn, reader)
	if err != nil {
		return err
	}
	c := newConn(s, netConn)
	readerClosed := make(chan struct{})
	defer close(readerClosed)
	if err := s.open(c, hello, readerClosed); err != nil {
		<-c.writerClosed // the reason is sent
		return err
	}
	defer s.closed(c)
	for {
		_ = netConn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails on a closed connection alone, and so does the read
		message, err := reader.readMessage()
		if err != nil {
			return err
		}
		if err := s.handle(c, message); err != nil {
			return err
		}
	}
}

// readHello reads the mark of the stream, the greeting and the hello.
func (s *Server) readHello(netConn net.Conn, reader *messageReader) (changefeed.Hello, error) {
	_ = netConn.SetReadDeadline(time.Now().Add(helloTimeout)) // fails on a closed connection alone, and so does the read
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
		return changefeed.Hello{}, fmt.Errorf("a subscriber of fleet %q at %v", greeting.Fleet, netConn.RemoteAddr())
	}
	message, err := reader.readMessage()
	if err != nil {
		return changefeed.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	if message.Hello == nil {
		return changefeed.Hello{}, fmt.Errorf("%w: no hello", changefeed.ErrMalformedMessage)
	}
	return *message.Hello, nil
}

// handle passes a message to the core, and executes the operation or put in it.
func (s *Server) handle(c *conn, message changefeed.Message) error {
	s.mu.Lock()
	err := s.core.Step(s.options.Now(), c.id, message)
	s.carryOut()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	switch {
	case message.Operation != nil:
		var request framing.OperationRequest
		if err := framing.Decode(message.Operation.Body, &request); err != nil {
			return fmt.Errorf("decode operation %d: %w", message.Operation.RequestID, err)
		}
		s.submit(c, message.Operation.RequestID, request.Operation, min(request.Timeout, maxOperationTimeout))
	case message.PutRequest != nil:
		s.put(c, message.PutRequest)
	}
	return nil
}

// open starts the writer and opens a session. Where the core rejects the subscriber, the connection ends after the core's answer.
func (s *Server) open(c *conn, hello changefeed.Hello, readerClosed <-chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		close(c.writerClosed) // it was never started
		return net.ErrClosed
	default:
	}
	s.lastConnID++
	c.id = s.lastConnID
	s.conns[c.id] = c
	s.goroutines.Add(1)
	go c.write(readerClosed)
	err := s.core.Connected(s.options.Now(), c.id, hello)
	s.carryOut()
	if err != nil {
		c.closeAfterQueue()
		delete(s.conns, c.id)
	}
	return err
}

// closed ends the session of a connection.
func (s *Server) closed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	s.core.ConnectionClosed(c.id)
	s.carryOut()
}
