package main

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"syscall"

	"sabletally/internal/lab/emulator"
)

// forwarderRequest is one request to a process of forwarders; the first one has Members.
type forwarderRequest struct {
	Members   []netip.AddrPort // all control processes
	Forwarded []int            // indices of the members that this process forwards to
	CutOff    []int            // indices of the members that are cut off from all others; none: all links work
}

// forwarderResponse answers each request.
type forwarderResponse struct {
	Advertised map[int]netip.AddrPort // address of the forwarder by member, in the first response
	Error      string
}

// forwardersCmd runs the forwarders in front of the control processes of one region of a scale test, so that links to other regions can
// be cut. They run in processes of their own because of their descriptors: two for each forwarded connection. Requests are gob messages
// on standard input, answered on standard output.
type forwardersCmd struct{}

func (c *forwardersCmd) Run() error {
	requests := gob.NewDecoder(os.Stdin)
	responses := gob.NewEncoder(os.Stdout)
	var first forwarderRequest
	if err := requests.Decode(&first); err != nil {
		return fmt.Errorf("reading the configuration of forwarders: %w", err)
	}
	forwarders, err := emulator.NewForwarders(first.Members, first.Forwarded)
	if err != nil {
		return errors.Join(err, responses.Encode(forwarderResponse{Error: err.Error()}))
	}
	defer forwarders.Close()
	response := forwarderResponse{Advertised: map[int]netip.AddrPort{}}
	for _, member := range first.Forwarded {
		response.Advertised[member] = forwarders.Advertised(member)
	}
	for {
		if err := responses.Encode(response); err != nil {
			return err
		}
		var request forwarderRequest
		err := requests.Decode(&request)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // the parent process closed the stream or ended
		}
		if err != nil {
			return err
		}
		forwarders.Cut(request.CutOff)
		response = forwarderResponse{}
	}
}

// forwarderProcess controls a process of forwarders.
type forwarderProcess struct {
	cmd       *exec.Cmd
	stdin     io.Closer
	requests  *gob.Encoder
	responses *gob.Decoder
}

// startForwarders starts a process that forwards to some of the members, and returns the address of each one's forwarder.
func startForwarders(executable string, members []netip.AddrPort, forwarded []int) (*forwarderProcess, map[int]netip.AddrPort, error) {
	cmd := exec.Command(executable, "fronts")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("starting forwarders: %w", err)
	}
	p := &forwarderProcess{cmd: cmd, stdin: stdin, requests: gob.NewEncoder(stdin), responses: gob.NewDecoder(stdout)}
	response, err := p.call(forwarderRequest{Members: members, Forwarded: forwarded})
	if err != nil {
		p.close()
		return nil, nil, err
	}
	return p, response.Advertised, nil
}

// call sends a request and waits for the response. Only one goroutine may call it at a time.
func (p *forwarderProcess) call(request forwarderRequest) (forwarderResponse, error) {
	var response forwarderResponse
	if err := p.requests.Encode(request); err != nil {
		return response, fmt.Errorf("request to forwarders: %w", err)
	}
	if err := p.responses.Decode(&response); err != nil {
		return response, fmt.Errorf("response of forwarders: %w", err)
	}
	if response.Error != "" {
		return response, fmt.Errorf("forwarders: %s", response.Error)
	}
	return response, nil
}

// close kills the process: it has no state that would be lost.
func (p *forwarderProcess) close() {
	_ = p.stdin.Close()
	_ = p.cmd.Process.Kill() // it fails only if the process has ended
	_ = p.cmd.Wait()         // a killed process reports an error
}
