package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// client is a stand-in for one client's connection.
type client struct {
	rec  *recorder
	name string
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(rec *recorder, name, address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{rec: rec, name: name, conn: c, r: bufio.NewReader(c)}, nil
}

// open sends an OPEN line.
func (c *client) open(id, key, class string, limit time.Duration, more string) error {
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d%s", id, key, class, limit.Milliseconds(), more)
	c.rec.add("client %s sends %s", c.name, line)
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return err
}

// errNothing means that no line has come in time.
var errNothing = errors.New("no line in time")

// line reads a line within a time.
func (c *client) line(within time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	text, err := c.r.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "", errNothing
	}
	return strings.TrimRight(text, "\r\n"), err
}

// answer reads the answer to the OPEN line and records it.
func (c *client) answer(within time.Duration) (string, error) {
	text, err := c.line(within)
	switch {
	case err == nil:
		c.rec.add("client %s receives %s", c.name, text)
	default:
		c.rec.add("client %s receives no answer: %v", c.name, err)
	}
	return text, err
}

// echo sends a line on an established connection and waits for it to come back.
func (c *client) echo(within time.Duration) error {
	if _, err := c.conn.Write([]byte("M 1\r\n")); err != nil {
		return err
	}
	text, err := c.line(within)
	if err == nil && text != "M 1" {
		err = fmt.Errorf("received %q", text)
	}
	return err
}

func (c *client) close() { _ = c.conn.Close() }
